package org.verbenamast.core.keys;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers of the {@code tenure} chart: the key lease of a node. */
public enum KeyLeaseTimer implements TimerRule<KeyLeaseEvent, KeyLeaseData> {
    /** Delays the next renewal of the lease. */
    RENEWAL {
        @Override
        public KeyLeaseEvent fires() {
            return KeyLeaseEvent.RENEWAL_DUE;
        }

        @Override
        public long delayNanos(KeyLeaseData data, long now) {
            return Timing.millisToNanos(data.timings().renewMillis());
        }
    },
    /** Delays the next call to the store after a failure. */
    RETRY {
        @Override
        public KeyLeaseEvent fires() {
            return KeyLeaseEvent.RETRY_DUE;
        }

        @Override
        public long delayNanos(KeyLeaseData data, long now) {
            return Timing.millisToNanos(data.timings().retryMillis());
        }
    }
}
