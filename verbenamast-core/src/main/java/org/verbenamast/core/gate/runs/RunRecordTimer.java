package org.verbenamast.core.gate.runs;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers in the chart of a run's record. */
public enum RunRecordTimer implements TimerRule<RunRecordEvent, RunRecordData> {
    /** Waits as long as the answer is kept. */
    WINDOW {
        @Override
        public RunRecordEvent fires() {
            return RunRecordEvent.WINDOW_OVER;
        }

        @Override
        public long delayNanos(RunRecordData data, long now) {
            return Timing.millisToNanos(data.limits().windowMillis());
        }
    },
    /** Waits as long as it is remembered that the request ran. */
    MEMORY {
        @Override
        public RunRecordEvent fires() {
            return RunRecordEvent.MEMORY_OVER;
        }

        @Override
        public long delayNanos(RunRecordData data, long now) {
            return Timing.millisToNanos(data.limits().memoryMillis());
        }
    }
}
