package org.verbenamast.core.gate.runs;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers in the chart of a run's record. */
public enum RunTimer implements TimerRule<RunEvent, RunData> {
    /** Waits as long as the request may be sent again. */
    WINDOW {
        @Override
        public RunEvent fires() {
            return RunEvent.WINDOW_OVER;
        }

        @Override
        public long delayNanos(RunData data, long now) {
            return Timing.nanos(data.windowMillis());
        }
    }
}
