package org.verbenamast.core.tenant;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Member;

/** The actions of chart {@code cap-share}, a node's share of the caps. */
public enum ShareAction implements Action<ShareData, ShareInput> {
    /** Asks the bank for tokens and its stamp, and cedes nothing. */
    ASK {
        @Override
        public ShareData apply(ShareData data, ShareInput input, long now, Effects effects) {
            input.bank()
                    .ifPresent(bank -> effects.emit(
                            new CapEffect.SendReport(bank, input.report().orElseThrow())));
            return data;
        }
    },
    /** Cedes the share to the bank for a term, and asks for tokens. */
    CEDE {
        @Override
        public ShareData apply(ShareData data, ShareInput input, long now, Effects effects) {
            Member bank = input.bank().orElseThrow();
            long age = (now - data.heardAt()) / Timing.NANOS_PER_MILLI;
            CapReport report = input.report().orElseThrow().ceding(data.stamp(), age);
            effects.emit(new CapEffect.SendReport(bank, report));
            return data.ceded(bank.node(), now + ShareTimer.TERM_NANOS);
        }
    },
    /** Records the answer of a bank. */
    RECORD_ANSWER {
        @Override
        public ShareData apply(ShareData data, ShareInput input, long now, Effects effects) {
            CapGrant grant = input.answer().orElseThrow();
            return data.withAnswer(grant.bank(), grant.stamp(), now);
        }
    },
    /** Begins to mint the share. */
    BEGIN_OWN {
        @Override
        public ShareData apply(ShareData data, ShareInput input, long now, Effects effects) {
            return data.own(now);
        }
    }
}
