package org.verbenamast.core.ownership;

import java.time.Duration;

import org.verbenamast.core.chart.TimerRule;

/** The timers of the chart of a slice. */
public enum SliceTimer implements TimerRule<SliceEvent, SliceData> {
    /** Delays admission until requests of the previous owner can no longer run. */
    SETTLE_DELAY {
        @Override
        public SliceEvent fires() {
            return SliceEvent.SETTLED;
        }

        @Override
        public long delayNanos(SliceData data, long now) {
            return data.settleNanos();
        }
    },
    /** Limits the time that the backend server gets to finish its requests. */
    DRAIN_TIMEOUT {
        @Override
        public SliceEvent fires() {
            return SliceEvent.DRAIN_DUE;
        }

        @Override
        public long delayNanos(SliceData data, long now) {
            return data.move().drainNanos();
        }
    },
    /** Delays the next move of a slice after a move was cancelled or failed. */
    MOVE_BACKOFF {
        @Override
        public SliceEvent fires() {
            return SliceEvent.REST_DUE;
        }

        @Override
        public long delayNanos(SliceData data, long now) {
            return MOVE_BACKOFF_NANOS;
        }
    };

    private static final long MOVE_BACKOFF_NANOS = Duration.ofSeconds(5).toNanos();
}
