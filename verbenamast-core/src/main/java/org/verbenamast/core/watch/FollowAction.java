package org.verbenamast.core.watch;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.node.Timing;

/** The steps of a followed table. */
public enum FollowAction implements Action<FollowData, FollowInput> {
    /** Reads all rows. */
    READ_ALL {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            FollowData next = data.withCall(now);
            effects.emit(new FollowEffect.ReadAll(next.table(), next.callId()));
            return next;
        }
    },
    /** Waits for changes. */
    AWAIT {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            FollowData next = data.withCall(now);
            long wait = next.table().waitMillis(data.random().getAsDouble());
            effects.emit(new FollowEffect.Await(next.table(), next.version(), wait, next.callId()));
            return next;
        }
    },
    /** Notes how far the table was followed. */
    RECORD_VERSION {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            return data.withAnswer(input, now);
        }
    },
    /** Begins the pause after a change. */
    SCHEDULE_CALL {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            return data.withResumeAt(now + Timing.nanos(data.table().batchDelayMillis()));
        }
    },
    /** Notes a row that came in another way. */
    RECORD_RECEIVED_ROW {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            return data.withReceivedRow(input.latest());
        }
    },
    /** Notes a row that another node knows. */
    RECORD_WANTED_ROW {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            return data.withWantedRow(input.latest());
        }
    },
    /** Notes when the store answered another node. */
    RECORD_PROOF {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            return data.provenAt(input.provenAt());
        }
    },
    /** Counts a failure. */
    COUNT_FAILURE {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            return data.withFailure();
        }
    }
}
