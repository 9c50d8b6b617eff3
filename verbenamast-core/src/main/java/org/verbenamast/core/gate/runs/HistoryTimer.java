package org.verbenamast.core.gate.runs;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers in the chart of what an owner knows of the earlier runs in a slice. */
public enum HistoryTimer implements TimerRule<HistoryEvent, HistoryData> {
    /** Waits for the earlier owner's records. */
    PATIENCE {
        @Override
        public HistoryEvent fires() {
            return HistoryEvent.PATIENCE_OVER;
        }

        @Override
        public long delayNanos(HistoryData data, long now) {
            return Timing.millisToNanos(data.limits().patienceMillis());
        }
    },
    /** Waits until what ran under earlier owners can't be sent again. */
    WINDOW {
        @Override
        public HistoryEvent fires() {
            return HistoryEvent.WINDOW_OVER;
        }

        @Override
        public long delayNanos(HistoryData data, long now) {
            return Timing.millisToNanos(data.limits().windowMillis());
        }
    }
}
