package org.verbenamast.core.request;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.MemberId;

/** The steps in the chart of a request at the member that took it from its caller. */
public enum RequestAction implements Action<RequestData, RequestInput> {
    /** Sends the request to the member that was chosen. */
    FORWARD {
        @Override
        public RequestData apply(RequestData data, RequestInput input, long now, Effects effects) {
            MemberId to = input.router().chosen();
            RequestData sent = data.withSentAttempt(to, now, input.router().hedgeDelayNanos(data));
            input.router().addInFlight(data.id(), to, now);
            long remaining = data.deadline() - now;
            PeerMessage forward = new PeerMessage.Forward(data.id(), sent.attemptCount(), data.request(), remaining);
            effects.emit(new Effect.SendToPeer(to, forward));
            return sent;
        }
    },
    /** Asks another member who owns the request's key. */
    REQUEST_CHUNK_ROW {
        @Override
        public RequestData apply(RequestData data, RequestInput input, long now, Effects effects) {
            input.router().requestChunkRow(data, effects);
            return data;
        }
    },
    /** Notes that a try certainly did not run. */
    RECORD_FAILED_ATTEMPT {
        @Override
        public RequestData apply(RequestData data, RequestInput input, long now, Effects effects) {
            recordEnd(data, input, now);
            return input.outcome() instanceof RequestOutcome.Unknown unknown
                    ? data.withLostAttempt(input.attemptNumber(), unknown.reason())
                    : data.withRefusedAttempt(input.attemptNumber(), refusalReason(input));
        }
    },
    /** Notes that a try may have run unseen. */
    RECORD_LOST_ATTEMPT {
        @Override
        public RequestData apply(RequestData data, RequestInput input, long now, Effects effects) {
            recordEnd(data, input, now);
            return data.withLostAttempt(input.attemptNumber(), UnknownReason.LINK_LOST);
        }
    },
    /** Tells the members that still have tries that nobody waits for them any more. */
    CANCEL_ATTEMPTS {
        @Override
        public RequestData apply(RequestData data, RequestInput input, long now, Effects effects) {
            for (Attempt open : data.openAttempts()) {
                if (open.number() != input.attemptNumber()) {
                    input.router().removeInFlight(data.id(), open.member());
                    input.router().recordAbandoned(open, now);
                    PeerMessage cancel = new PeerMessage.Cancel(data.id(), open.number());
                    effects.emit(new Effect.SendToPeer(open.member(), cancel));
                }
            }
            return data;
        }
    },
    /** Gives the caller the answer. */
    REPLY_ANSWER {
        @Override
        public RequestData apply(RequestData data, RequestInput input, long now, Effects effects) {
            recordEnd(data, input, now);
            effects.emit(new Effect.ReplyToCaller(data.id(), input.outcome()));
            return data;
        }
    },
    /** Tells the caller that no try was answered: not run where that is certain, or else unknown. */
    REPLY_UNANSWERED {
        @Override
        public RequestData apply(RequestData data, RequestInput input, long now, Effects effects) {
            effects.emit(new Effect.ReplyToCaller(data.id(), data.outcomeWithoutAnswer()));
            return data;
        }
    },
    /** Tells the caller that the deadline passed while a member had the request. */
    REPLY_OVERDUE {
        @Override
        public RequestData apply(RequestData data, RequestInput input, long now, Effects effects) {
            RequestOutcome overdue = new RequestOutcome.Unknown(UnknownReason.DEADLINE_PASSED);
            effects.emit(new Effect.ReplyToCaller(data.id(), overdue));
            return data;
        }
    };

    private static void recordEnd(RequestData data, RequestInput input, long now) {
        Router router = input.router();
        data.openAttempt(input.attemptNumber()).ifPresent(open -> {
            router.removeInFlight(data.id(), open.member());
            router.recordOutcome(data, open, input.outcome(), now);
        });
    }

    private static NotRunReason refusalReason(RequestInput input) {
        return input.outcome() instanceof RequestOutcome.NotRun notRun
                ? notRun.reason()
                : NotRunReason.MEMBER_UNREACHABLE;
    }
}
