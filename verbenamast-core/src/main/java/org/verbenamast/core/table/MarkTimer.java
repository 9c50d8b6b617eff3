package org.verbenamast.core.table;

import org.verbenamast.core.chart.TimerRule;

/** The timers in the chart of a mark. */
public enum MarkTimer implements TimerRule<MarkEvent, MarkData> {
    /** Delays the next try to write a mark that is in force. */
    RETRY {
        @Override
        public MarkEvent fires() {
            return MarkEvent.RETRY_DUE;
        }

        @Override
        public long delayNanos(MarkData data, long now) {
            return data.desk().retryNanos(data.taken());
        }
    }
}
