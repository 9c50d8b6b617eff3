package org.verbenamast.core.gate;

import org.verbenamast.core.chart.TimerRule;

/** The timers of chart {@code serve}, the execution of a request. */
public enum ExecutionTimer implements TimerRule<ExecutionEvent, ExecutionData> {
    /** Expires at the caller's deadline. */
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
