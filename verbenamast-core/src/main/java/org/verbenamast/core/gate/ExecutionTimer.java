package org.verbenamast.core.gate;

import org.verbenamast.core.chart.TimerRule;

/** The timers in the chart of a request at the member whose backend server is to run it. */
public enum ExecutionTimer implements TimerRule<ExecutionEvent, ExecutionData> {
    /** Waits until the caller gives up. */
    DEADLINE {
        @Override
        public ExecutionEvent fires() {
            return ExecutionEvent.DEADLINE_DUE;
        }

        @Override
        public long delayNanos(ExecutionData data, long now) {
            return Math.max(0, data.deadline() - now);
        }
    }
}
