package org.verbenamast.core.store;

import org.verbenamast.core.chart.TimerRule;

/** The timers of the chart of a call to the table service. */
public enum StoreTimer implements TimerRule<StoreEvent, StoreCall> {
    /** Limits the wait for the reply to one attempt. */
    ANSWER {
        @Override
        public StoreEvent fires() {
            return StoreEvent.TIMED_OUT;
        }

        @Override
        public long delayNanos(StoreCall call, long now) {
            return call.retryPolicy().timeoutNanos();
        }
    },
    /** Delays the next attempt. */
    BACKOFF {
        @Override
        public StoreEvent fires() {
            return StoreEvent.BACKOFF_ENDED;
        }

        @Override
        public long delayNanos(StoreCall call, long now) {
            return call.retryPolicy().backoffNanos(call);
        }
    }
}
