package org.verbenamast.core.gate;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.request.NotRunReason;
import org.verbenamast.core.request.RequestOutcome;
import org.verbenamast.core.request.UnknownReason;

/** The actions of chart {@code serve}, the execution of a request. */
public enum ExecutionAction implements Action<ExecutionData, ExecutionInput> {
    /** Sends the request to the backend server. */
    CALL_SERVER {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            input.backend().callServer(data, now, effects);
            return data;
        }
    },
    /** Frees the slot of the request and records how the call to the backend server ended. */
    RELEASE_SLOT {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            input.backend().releaseSlot(data, input.reply(), now, effects);
            return data;
        }
    },
    /** Appends the request to the queue. */
    ENQUEUE {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            input.backend().enqueue(data);
            return data;
        }
    },
    /** Removes the request from the queue. */
    DEQUEUE {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            input.backend().dequeue(data);
            return data;
        }
    },
    /** Cancels the request at the backend server, because its sender no longer waits. */
    CANCEL_AT_SERVER {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            input.backend().cancelAtServer(data, effects);
            return data;
        }
    },
    /** Records the number of the sender's latest attempt. */
    RECORD_ATTEMPT {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            return data.withAttempt(Math.max(data.attempt(), input.attempt()));
        }
    },
    /** Waits for the outcome of another send under the same idempotency key. */
    FOLLOW {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            input.backend().follow(data);
            return data;
        }
    },
    /** Stops waiting for the outcome of another send. */
    UNFOLLOW {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            input.backend().unfollow(data);
            return data;
        }
    },
    /** Replies with the recorded outcome of an earlier send. */
    REPLY_RECORDED {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            return reply(data, input.backend().recordedOutcome(data), effects);
        }
    },
    /** Replies that the outcome is unknown: an earlier send may have run under an earlier owner. */
    REPLY_UNCERTAIN {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            return reply(data, new RequestOutcome.Unknown(UnknownReason.EARLIER_OWNER), effects);
        }
    },
    /** Refuses the request until the earlier owner's records have arrived; the sender may retry. */
    REFUSE_RECORDS_AWAITED {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            return reply(data, new RequestOutcome.NotRun(NotRunReason.RECORDS_AWAITED), effects);
        }
    },
    /** Refuses the request because requests with the same content crashed backend servers. */
    REFUSE_CRASH_SUSPECT {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            input.backend().onSuspectRefused(data, now, effects);
            return reply(data, new RequestOutcome.NotRun(NotRunReason.CRASH_SUSPECT), effects);
        }
    },
    /**
     * Refuses the request until it is known whether one with the same content crashed a backend server; the sender may
     * retry.
     */
    REFUSE_SUSPECT_HELD {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            return reply(data, new RequestOutcome.NotRun(NotRunReason.SUSPECT_HELD), effects);
        }
    },
    /** Refuses the request because the backend server accepts no new requests. */
    REFUSE_SERVER_CLOSED {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            return reply(data, new RequestOutcome.NotRun(NotRunReason.SERVER_UNREACHABLE), effects);
        }
    },
    /** Refuses the request because the wait in the queue would outlast its deadline. */
    REFUSE_WAIT_TOO_LONG {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            return reply(data, new RequestOutcome.NotRun(NotRunReason.WAIT_TOO_LONG), effects);
        }
    },
    /** Replies with the outcome of the run. */
    REPLY_OUTCOME {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            return reply(data, input.outcome(), effects);
        }
    },
    /** Refuses the request because this node may not run it, and sends the owner's row. */
    REFUSE_WRONG_OWNER {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            input.backend().sendOwnerRow(data, effects);
            return reply(data, new RequestOutcome.NotRun(NotRunReason.WRONG_OWNER), effects);
        }
    },
    /** Refuses the request because the queue or the table of run records is full. */
    REFUSE_OVERLOADED {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            return reply(data, new RequestOutcome.NotRun(NotRunReason.OVERLOADED), effects);
        }
    },
    /** Refuses the request because its deadline passed before it was sent to the backend server. */
    REFUSE_DEADLINE_PASSED {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            return reply(data, new RequestOutcome.NotRun(NotRunReason.DEADLINE_PASSED), effects);
        }
    },
    /** Replies that the outcome is unknown: the deadline passed while the backend server was running the request. */
    REPLY_DEADLINE_PASSED {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            return reply(data, new RequestOutcome.Unknown(UnknownReason.DEADLINE_PASSED), effects);
        }
    };

    private static ExecutionData reply(ExecutionData data, RequestOutcome outcome, Effects effects) {
        effects.emit(new Effect.SendToPeer(data.from(), new PeerMessage.Ended(data.id(), data.attempt(), outcome)));
        return data;
    }
}
