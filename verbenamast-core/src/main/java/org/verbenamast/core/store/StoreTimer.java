package org.verbenamast.core.store;

import org.verbenamast.core.chart.TimerRule;

/** The timers in the chart of a call to the table service. */
public enum StoreTimer implements TimerRule<StoreEvent, StoreCall> {
    /** Bounds the wait for an answer. */
    ANSWER {
        @Override
        public StoreEvent fires() {
            return StoreEvent.TIMED_OUT;
        }

        @Override
        public long delayNanos(StoreCall call, long now) {
            return call.timeoutNanos();
        }
    }
}
