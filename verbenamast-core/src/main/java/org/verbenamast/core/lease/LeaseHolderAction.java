package org.verbenamast.core.lease;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.effect.StopReason;

/** The steps in the chart of this node's own lease. */
public enum LeaseHolderAction implements Action<LeaseHolderData, LeaseHolderInput> {
    /** Asks the lease peers to vouch, and replaces those that are lost. */
    ASK {
        @Override
        public LeaseHolderData apply(LeaseHolderData data, LeaseHolderInput input, long now, Effects effects) {
            return data.desk().ask(data, now, effects);
        }
    },
    /** Notes that a lease peer vouched. */
    NOTE_VOUCH {
        @Override
        public LeaseHolderData apply(LeaseHolderData data, LeaseHolderInput input, long now, Effects effects) {
            return data.withVouch(input.peer(), input.sentAt());
        }
    },
    /** Notes that a write of the row took effect. */
    NOTE_WRITE {
        @Override
        public LeaseHolderData apply(LeaseHolderData data, LeaseHolderInput input, long now, Effects effects) {
            return data.withWritten(input.sentAt()).withShown(input.sentAt());
        }
    },
    /** Notes that the table service showed the row as not ended. */
    NOTE_SHOWN {
        @Override
        public LeaseHolderData apply(LeaseHolderData data, LeaseHolderInput input, long now, Effects effects) {
            return data.withShown(input.sentAt());
        }
    },
    /** Notes the lease peers in a later version of the row. */
    NOTE_ROW {
        @Override
        public LeaseHolderData apply(LeaseHolderData data, LeaseHolderInput input, long now, Effects effects) {
            return data.withLists(data.lists().learnt(input.version(), input.leasePeers()));
        }
    },
    /** Notes when the lease lapsed. */
    NOTE_LAPSE {
        @Override
        public LeaseHolderData apply(LeaseHolderData data, LeaseHolderInput input, long now, Effects effects) {
            return data.withLapse(now);
        }
    },
    /** Lets the process exit, so that it starts as another incarnation. */
    GIVE_UP {
        @Override
        public LeaseHolderData apply(LeaseHolderData data, LeaseHolderInput input, long now, Effects effects) {
            data.desk().giveUp();
            effects.emit(new Effect.StopProcess(StopReason.LEASE_OVER));
            return data;
        }
    },
    /** Lets only requests count for serving that are sent from now on. */
    DISCOUNT_EARLIER {
        @Override
        public LeaseHolderData apply(LeaseHolderData data, LeaseHolderInput input, long now, Effects effects) {
            data.desk().forgetSilence();
            return data.withCountedFrom(now);
        }
    }
}
