package org.verbenamast.core.gate;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.request.NotRunReason;
import org.verbenamast.core.request.RequestOutcome;
import org.verbenamast.core.request.UnknownReason;

/** The steps in the chart of a request at the member whose backend server is to run it. */
public enum ExecutionAction implements Action<ExecutionData, ExecutionInput> {
    /** Gives the request to the backend server. */
    CALL_SERVER {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            input.gate().call(data, now, effects);
            return data;
        }
    },
    /** Notes that the backend server is done with the request. */
    RELEASE {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            input.gate().release(data, input.reply(), now, effects);
            return data;
        }
    },
    /** Lets the request wait. */
    ENQUEUE {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            input.gate().enqueue(data);
            return data;
        }
    },
    /** Takes the request out of the queue. */
    DEQUEUE {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            input.gate().dequeue(data);
            return data;
        }
    },
    /** Tells the backend server that nobody waits any more. */
    CANCEL_AT_SERVER {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            input.gate().cancelAtServer(data, effects);
            return data;
        }
    },
    /** Notes that the sender tries again. */
    TAKE_ATTEMPT {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            return data.withAttempt(Math.max(data.attempt(), input.attempt()));
        }
    },
    /** Waits for the run of another send. */
    FOLLOW {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            input.gate().follow(data);
            return data;
        }
    },
    /** Waits no longer for the run of another send. */
    UNFOLLOW {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            input.gate().unfollow(data);
            return data;
        }
    },
    /** Tells the sender how the run of an earlier send ended. */
    REPLY_RECORDED {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            return reply(data, input.gate().recorded(data), effects);
        }
    },
    /** Tells the sender that an earlier send may have run. */
    REPLY_UNCERTAIN {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            return reply(data, new RequestOutcome.Unknown(UnknownReason.EARLIER_OWNER), effects);
        }
    },
    /** Tells the sender to try again when the earlier owner's records are here. */
    REFUSE_UNTIL_RECORDED {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            return reply(data, new RequestOutcome.NotRun(NotRunReason.RECORDS_AWAITED), effects);
        }
    },
    /** Tells the sender that such requests crash backend servers. */
    REFUSE_SUSPECT {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            input.gate().refusedSuspect(data, now, effects);
            return reply(data, new RequestOutcome.NotRun(NotRunReason.CRASH_SUSPECT), effects);
        }
    },
    /** Tells the sender to try again when it is known whether such a request crashed a backend server. */
    REFUSE_HELD {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            return reply(data, new RequestOutcome.NotRun(NotRunReason.SUSPECT_HELD), effects);
        }
    },
    /** Tells the sender that the backend server takes no new work. */
    REFUSE_CLOSED {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            return reply(data, new RequestOutcome.NotRun(NotRunReason.SERVER_UNREACHABLE), effects);
        }
    },
    /** Tells the sender that the wait would outlast the deadline. */
    REFUSE_HOPELESS {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            return reply(data, new RequestOutcome.NotRun(NotRunReason.WAIT_TOO_LONG), effects);
        }
    },
    /** Tells the sender how the run ended. */
    REPLY_OUTCOME {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            return reply(data, input.outcome(), effects);
        }
    },
    /** Tells the sender that this node may not have the request run. */
    REFUSE_NOT_MINE {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            input.gate().showOwner(data, effects);
            return reply(data, new RequestOutcome.NotRun(NotRunReason.WRONG_OWNER), effects);
        }
    },
    /** Tells the sender that the backend server and the queue are full. */
    REFUSE_OVERLOADED {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            return reply(data, new RequestOutcome.NotRun(NotRunReason.OVERLOADED), effects);
        }
    },
    /** Tells the sender that the deadline passed before the backend server was given the request. */
    REFUSE_OVERDUE {
        @Override
        public ExecutionData apply(ExecutionData data, ExecutionInput input, long now, Effects effects) {
            return reply(data, new RequestOutcome.NotRun(NotRunReason.DEADLINE_PASSED), effects);
        }
    },
    /** Tells the sender that the deadline passed while the backend server had the request. */
    REPLY_OVERDUE {
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
