package org.verbenamast.core.gate.runs;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers of chart {@code history}, the known earlier runs of a slice. */
public enum HistoryTimer implements TimerRule<HistoryEvent, HistoryData> {
    /** Limits the wait for the earlier owner's records. */
    RECORDS_TIMEOUT {
        @Override
        public HistoryEvent fires() {
            return HistoryEvent.PATIENCE_OVER;
        }

        @Override
        public long delayNanos(HistoryData data, long now) {
            return Timing.millisToNanos(data.limits().recordsTimeoutMillis());
        }
    },
    /** Expires when requests that ran under earlier owners can no longer be resent. */
    RESEND_WINDOW {
        @Override
        public HistoryEvent fires() {
            return HistoryEvent.WINDOW_OVER;
        }

        @Override
        public long delayNanos(HistoryData data, long now) {
            return Timing.millisToNanos(data.limits().resendWindowMillis());
        }
    }
}
