package org.verbenamast.core.request;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.MemberId;

/** The actions in the chart of a request at its entry node, the node that received it from the caller. */
public enum RequestAction implements Action<RequestData, RequestInput> {
    /** Sends the request to the member that the router chose. */
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
    /** Requests the chunk row that names the owner of the request's slice from another member. */
    REQUEST_CHUNK_ROW {
        @Override
        public RequestData apply(RequestData data, RequestInput input, long now, Effects effects) {
            input.router().requestChunkRow(data, effects);
            return data;
        }
    },
    /** Records an attempt that ended without an answer: refused before execution, or ended with an unknown outcome. */
    RECORD_FAILED_ATTEMPT {
        @Override
        public RequestData apply(RequestData data, RequestInput input, long now, Effects effects) {
            recordEnd(data, input, now);
            return input.outcome() instanceof RequestOutcome.Unknown unknown
                    ? data.withLostAttempt(input.attemptNumber(), unknown.reason())
                    : data.withRefusedAttempt(input.attemptNumber(), refusalReason(input));
        }
    },
    /** Records that the link to the member was lost, so that the outcome of the attempt is unknown. */
    RECORD_LOST_ATTEMPT {
        @Override
        public RequestData apply(RequestData data, RequestInput input, long now, Effects effects) {
            recordEnd(data, input, now);
            return data.withLostAttempt(input.attemptNumber(), UnknownReason.LINK_LOST);
        }
    },
    /** Cancels the open attempts except the one that the event concerns: the caller no longer waits for them. */
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
    /** Sends the answer to the caller. */
    REPLY_ANSWER {
        @Override
        public RequestData apply(RequestData data, RequestInput input, long now, Effects effects) {
            recordEnd(data, input, now);
            effects.emit(new Effect.ReplyToCaller(data.id(), input.outcome()));
            return data;
        }
    },
    /** Replies that no attempt was answered: not run if that is certain, otherwise unknown. */
    REPLY_UNANSWERED {
        @Override
        public RequestData apply(RequestData data, RequestInput input, long now, Effects effects) {
            effects.emit(new Effect.ReplyToCaller(data.id(), data.outcomeWithoutAnswer()));
            return data;
        }
    },
    /** Replies with an unknown outcome, because the deadline passed while a member had the request. */
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
