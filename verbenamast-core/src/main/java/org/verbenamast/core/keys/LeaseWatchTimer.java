package org.verbenamast.core.keys;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers of a watched lease. */
public enum LeaseWatchTimer implements TimerRule<LeaseWatchEvent, LeaseWatchData> {
    /** Waits until the lease has ended by any clock. */
    LEASE {
        @Override
        public LeaseWatchEvent fires() {
            return LeaseWatchEvent.LEASE_OVER;
        }

        @Override
        public long delayNanos(LeaseWatchData data, long now) {
            return Timing.millisToNanos(KeyLeaseTimings.surelyOver(data.leaseMillis()));
        }
    },
    /** Waits before the row is read again. */
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

    /** Pause after a failed read, in milliseconds; one that the store's limits bear from all nodes at once. */
    private static final long RETRY_MILLIS = 500;
}
