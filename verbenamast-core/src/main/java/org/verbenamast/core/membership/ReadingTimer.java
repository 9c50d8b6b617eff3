package org.verbenamast.core.membership;

import org.verbenamast.core.chart.TimerRule;

/** The timers in the chart of this node's reading of the tables. */
public enum ReadingTimer implements TimerRule<ReadingEvent, ReadingData> {
    /** Waits before a table is read again that could not be read. */
    RETRY {
        @Override
        public ReadingEvent fires() {
            return ReadingEvent.RETRY_DUE;
        }

        @Override
        public long delayNanos(ReadingData data, long now) {
            return data.desk().retryNanos(data.failures());
        }
    },
    /** Waits before all tables are read again. */
    REREAD {
        @Override
        public ReadingEvent fires() {
            return ReadingEvent.REREAD_DUE;
        }

        @Override
        public long delayNanos(ReadingData data, long now) {
            return data.desk().rereadNanos();
        }
    }
}
