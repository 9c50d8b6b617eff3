package org.verbenamast.core.keys;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers of a tenure. */
public enum KeyLeaseTimer implements TimerRule<KeyLeaseEvent, KeyLeaseData> {
    /** Waits before the lease is renewed. */
    RENEWAL {
        @Override
        public KeyLeaseEvent fires() {
            return KeyLeaseEvent.RENEWAL_DUE;
        }

        @Override
        public long delayNanos(KeyLeaseData data, long now) {
            return Timing.millisToNanos(data.terms().renewMillis());
        }
    },
    /** Waits before the store is asked again. */
    RETRY {
        @Override
        public KeyLeaseEvent fires() {
            return KeyLeaseEvent.RETRY_DUE;
        }

        @Override
        public long delayNanos(KeyLeaseData data, long now) {
            return Timing.millisToNanos(data.terms().retryMillis());
        }
    }
}
