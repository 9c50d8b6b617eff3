package org.verbenamast.core.table;

import org.verbenamast.core.chart.TimerRule;

/** The timers of the chart {@code mark}. */
public enum MarkTimer implements TimerRule<MarkEvent, MarkData> {
    /** Delays the next attempt to write a mark that is in force. */
    RETRY {
        @Override
        public MarkEvent fires() {
            return MarkEvent.RETRY_DUE;
        }

        @Override
        public long delayNanos(MarkData data, long now) {
            return data.controller().retryDelayNanos(data.submittedLocally());
        }
    }
}
