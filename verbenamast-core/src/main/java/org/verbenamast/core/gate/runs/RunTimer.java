package org.verbenamast.core.gate.runs;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers in the chart of a run's record. */
public enum RunTimer implements TimerRule<RunEvent, RunData> {
    /** Waits as long as the answer is kept. */
    WINDOW {
        @Override
        public RunEvent fires() {
            return RunEvent.WINDOW_OVER;
        }

        @Override
        public long delayNanos(RunData data, long now) {
            return Timing.nanos(data.limits().windowMillis());
        }
    },
    /** Waits as long as it is remembered that the request ran. */
    MEMORY {
        @Override
        public RunEvent fires() {
            return RunEvent.MEMORY_OVER;
        }

        @Override
        public long delayNanos(RunData data, long now) {
            return Timing.nanos(data.limits().memoryMillis());
        }
    }
}
