package org.verbenamast.core.store;

import org.verbenamast.core.chart.TimerRule;

/** The timers in the chart of a call to the table service. */
public enum StoreTimer implements TimerRule<StoreEvent, StoreCall> {
    /** Bounds the wait for the answer to one attempt. */
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
    /** Waits before the next attempt. */
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
