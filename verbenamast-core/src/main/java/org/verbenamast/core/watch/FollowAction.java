package org.verbenamast.core.watch;

import java.util.List;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The actions of the chart of a followed table. */
public enum FollowAction implements Action<FollowData, FollowInput> {
    /** Requests all rows of the table; other calls are cancelled. */
    READ_ALL {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            FollowCall call = new FollowCall(data.calls().lastId() + 1, now, 0);
            FollowData next = cancel(data, data.calls().pending(), effects).withCall(call);
            effects.emit(new FollowEffect.ReadAll(
                    data.table(), call.id(), data.calls().failures()));
            return next;
        }
    },
    /** Makes a call that waits for changes after the known version. */
    AWAIT {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            long wait = data.table().waitMillis(data.random().getAsDouble());
            FollowCall call = new FollowCall(data.calls().lastId() + 1, now, wait);
            FollowData next = cancel(data, data.calls().surplus(), effects).withCall(call);
            effects.emit(new FollowEffect.Await(
                    data.table(),
                    data.copy().version(),
                    wait,
                    call.id(),
                    data.copy().maxChangeBytes()));
            return next;
        }
    },
    /** Records that an answer has begun to arrive. Other calls would bring the same rows and are cancelled. */
    RECORD_ARRIVAL {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            FollowData next = cancel(data, data.calls().others(input.callId()), effects);
            return next.with(next.calls().withArrival(now));
        }
    },
    /** Records what the store answered, and that this node holds all changes up to its version. */
    RECORD_ANSWER {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            FollowData next = cancel(data, data.calls().others(input.callId()), effects);
            return next.withAnswer(input, now).withoutCalls(next.calls().pending());
        }
    },
    /** Records that a replaced call has ended without an answer that this node can use. */
    DROP_CALL {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            return data.withoutCalls(data.calls().find(input.callId()).stream().toList());
        }
    },
    /** Records that the last call has ended without an answer that this node can use; a replaced call is cancelled. */
    END_CALLS {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            FollowData next = cancel(data, data.calls().others(input.callId()), effects);
            return next.withoutCalls(next.calls().pending());
        }
    },
    /** Records what the store answered to a replaced call, and leaves the call that has replaced it pending. */
    RECORD_REPLACED_ANSWER {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            return data.withAnswer(input, now)
                    .withoutCalls(data.calls().find(input.callId()).stream().toList());
        }
    },
    /** Schedules the next call after the delay that lets further changes accumulate. */
    SCHEDULE_CALL {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            return data.withResumeAt(now + data.pauseNanos(now));
        }
    },
    /** Records the version of a row that reached this node other than by following the table. */
    RECORD_RECEIVED_ROW {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            return data.withReceivedRow(input.latest());
        }
    },
    /** Records the version of a newer row that another node knows and this node still lacks. */
    RECORD_WANTED_ROW {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            return data.withWantedRow(input.latest());
        }
    },
    /** Records when the store last answered another node. */
    RECORD_PROOF {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            return data.withProof(input.provenAt());
        }
    },
    /** Counts a failed call; the retry delay grows with the count. */
    COUNT_FAILURE {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            return data.with(data.calls().withFailure());
        }
    },
    /** Counts a loss of the history; the delay of the read that follows grows until a waiting call is answered. */
    COUNT_LOSS {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            return data.with(data.calls().withLostHistory());
        }
    };

    private static FollowData cancel(FollowData data, List<FollowCall> calls, Effects effects) {
        calls.forEach(call -> effects.emit(new FollowEffect.Cancel(data.table(), call.id())));
        return data.withoutCalls(calls);
    }
}
