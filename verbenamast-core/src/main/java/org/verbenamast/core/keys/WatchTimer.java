package org.verbenamast.core.keys;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers of a watched lease. */
public enum WatchTimer implements TimerRule<WatchEvent, WatchData> {
    /** Waits until the lease has ended by any clock. */
    LEASE {
        @Override
        public WatchEvent fires() {
            return WatchEvent.LEASE_OVER;
        }

        @Override
        public long delayNanos(WatchData data, long now) {
            return Timing.nanos(TenureTerms.surelyOver(data.leaseMillis()));
        }
    },
    /** Waits before the row is read again. */
    RETRY {
        @Override
        public WatchEvent fires() {
            return WatchEvent.RETRY_DUE;
        }

        @Override
        public long delayNanos(WatchData data, long now) {
            return Timing.nanos(RETRY_MILLIS);
        }
    };

    /** Pause after a failed read, in milliseconds; one that the store's limits bear from all nodes at once. */
    private static final long RETRY_MILLIS = 500;
}
