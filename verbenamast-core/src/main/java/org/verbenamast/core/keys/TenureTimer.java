package org.verbenamast.core.keys;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers of a tenure. */
public enum TenureTimer implements TimerRule<TenureEvent, TenureData> {
    /** Waits before the lease is renewed. */
    RENEWAL {
        @Override
        public TenureEvent fires() {
            return TenureEvent.RENEWAL_DUE;
        }

        @Override
        public long delayNanos(TenureData data, long now) {
            return Timing.nanos(data.terms().renewMillis());
        }
    },
    /** Waits before the store is asked again. */
    RETRY {
        @Override
        public TenureEvent fires() {
            return TenureEvent.RETRY_DUE;
        }

        @Override
        public long delayNanos(TenureData data, long now) {
            return Timing.nanos(data.terms().retryMillis());
        }
    }
}
