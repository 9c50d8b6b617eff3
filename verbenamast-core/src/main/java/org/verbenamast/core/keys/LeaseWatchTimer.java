package org.verbenamast.core.keys;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers of the {@code lease-watch} chart. */
public enum LeaseWatchTimer implements TimerRule<LeaseWatchEvent, LeaseWatchData> {
    /** Waits until the lease has expired on every clock, allowing for drift. */
    LEASE_EXPIRY {
        @Override
        public LeaseWatchEvent fires() {
            return LeaseWatchEvent.LEASE_OVER;
        }

        @Override
        public long delayNanos(LeaseWatchData data, long now) {
            return Timing.millisToNanos(KeyLeaseTimings.plusDrift(data.leaseMillis()));
        }
    },
    /** Delays the next read of the row after a failure. */
    RETRY {
        @Override
        public LeaseWatchEvent fires() {
            return LeaseWatchEvent.RETRY_DUE;
        }

        @Override
        public long delayNanos(LeaseWatchData data, long now) {
            return Timing.millisToNanos(RETRY_MILLIS);
        }
    };

    /**
     * Pause after a failed read, in milliseconds; keeps simultaneous retries of all nodes within the store's rate
     * limits.
     */
    private static final long RETRY_MILLIS = 500;
}
