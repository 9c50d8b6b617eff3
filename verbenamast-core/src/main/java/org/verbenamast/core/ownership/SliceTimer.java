package org.verbenamast.core.ownership;

import java.time.Duration;

import org.verbenamast.core.chart.TimerRule;

/** The timers in the chart of a slice. */
public enum SliceTimer implements TimerRule<SliceEvent, SliceData> {
    /** Waits until requests of the earlier owner can no longer run. */
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
    /** Bounds the wait for the requests at the backend server. */
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
    /** Waits before a slice whose move was called off may move again. */
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
