package org.verbenamast.core.request;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.MemberId;

/** The steps in the chart of a request at the member that took it from its caller. */
public enum EntryAction implements Action<EntryData, EntryInput> {
    /** Sends the request to the member that is to run it. */
    FORWARD {
        @Override
        public EntryData apply(EntryData data, EntryInput input, long now, Effects effects) {
            MemberId to = input.router().route(data.request());
            input.router().sent(data.id(), to);
            PeerMessage forward = new PeerMessage.Forward(data.id(), data.request(), data.deadline() - now);
            effects.emit(new Effect.SendToPeer(to, forward));
            return data.sentTo(to);
        }
    },
    /** Notes that the member no longer has the request. */
    TAKE_BACK {
        @Override
        public EntryData apply(EntryData data, EntryInput input, long now, Effects effects) {
            input.router().left(data.id(), data.at());
            NotRunReason reason = input.outcome() instanceof RequestOutcome.NotRun notRun
                    ? notRun.reason()
                    : NotRunReason.SERVER_UNREACHABLE;
            return data.refused(reason);
        }
    },
    /** Tells the member that nobody waits for the request any more. */
    CANCEL {
        @Override
        public EntryData apply(EntryData data, EntryInput input, long now, Effects effects) {
            input.router().left(data.id(), data.at());
            effects.emit(new Effect.SendToPeer(data.at(), new PeerMessage.Cancel(data.id())));
            return data;
        }
    },
    /** Gives the caller the outcome that the member told. */
    REPLY_OUTCOME {
        @Override
        public EntryData apply(EntryData data, EntryInput input, long now, Effects effects) {
            input.router().left(data.id(), data.at());
            effects.emit(new Effect.ReplyToCaller(data.id(), input.outcome()));
            return data;
        }
    },
    /** Tells the caller that the request was not run, with the reason of the last refusal. */
    REPLY_NOT_RUN {
        @Override
        public EntryData apply(EntryData data, EntryInput input, long now, Effects effects) {
            effects.emit(new Effect.ReplyToCaller(data.id(), new RequestOutcome.NotRun(data.lastRefusal())));
            return data;
        }
    },
    /** Tells the caller that the link broke while a member had the request. */
    REPLY_LINK_LOST {
        @Override
        public EntryData apply(EntryData data, EntryInput input, long now, Effects effects) {
            input.router().left(data.id(), data.at());
            effects.emit(new Effect.ReplyToCaller(data.id(), new RequestOutcome.Unknown(UnknownReason.LINK_LOST)));
            return data;
        }
    },
    /** Tells the caller that the deadline passed while a member had the request. */
    REPLY_OVERDUE {
        @Override
        public EntryData apply(EntryData data, EntryInput input, long now, Effects effects) {
            RequestOutcome overdue = new RequestOutcome.Unknown(UnknownReason.DEADLINE_PASSED);
            effects.emit(new Effect.ReplyToCaller(data.id(), overdue));
            return data;
        }
    }
}
