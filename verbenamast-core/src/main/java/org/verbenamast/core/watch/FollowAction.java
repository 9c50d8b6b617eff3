package org.verbenamast.core.watch;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.node.Timing;

/** The actions of the chart of a followed table. */
public enum FollowAction implements Action<FollowData, FollowInput> {
    /** Requests all rows of the table. */
    READ_ALL {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            FollowData next = data.withCall(now);
            effects.emit(new FollowEffect.ReadAll(next.table(), next.callId()));
            return next;
        }
    },
    /** Makes a call that waits for changes after the known version. */
    AWAIT {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            FollowData next = data.withCall(now);
            long wait = next.table().waitMillis(data.random().getAsDouble());
            effects.emit(new FollowEffect.Await(next.table(), next.version(), wait, next.callId()));
            return next;
        }
    },
    /** Records the version that the store answered with, and that this node knows all changes up to it. */
    RECORD_VERSION {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            return data.withAnswer(input, now);
        }
    },
    /** Schedules the next call after the delay that lets further changes accumulate. */
    SCHEDULE_CALL {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            return data.withResumeAt(now + Timing.millisToNanos(data.table().batchDelayMillis()));
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
            return data.withFailure();
        }
    }
}
