package org.verbenamast.core.gate.runs;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers of chart {@code run}, the record of a run. */
public enum RunRecordTimer implements TimerRule<RunRecordEvent, RunRecordData> {
    /** Limits how long the answer is kept. */
    RESEND_WINDOW {
        @Override
        public RunRecordEvent fires() {
            return RunRecordEvent.WINDOW_OVER;
        }

        @Override
        public long delayNanos(RunRecordData data, long now) {
            return Timing.millisToNanos(data.limits().resendWindowMillis());
        }
    },
    /** Limits how long the record without its answer is kept. */
    RECORD_RETENTION {
        @Override
        public RunRecordEvent fires() {
            return RunRecordEvent.MEMORY_OVER;
        }

        @Override
        public long delayNanos(RunRecordData data, long now) {
            return Timing.millisToNanos(data.limits().recordRetentionMillis());
        }
    }
}
