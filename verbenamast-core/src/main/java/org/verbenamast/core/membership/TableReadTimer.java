package org.verbenamast.core.membership;

import org.verbenamast.core.chart.TimerRule;

/** The timers of the chart that reads the tables. */
public enum TableReadTimer implements TimerRule<TableReadEvent, TableReadData> {
    /** Delays the next attempt to read a table after a failure. */
    RETRY {
        @Override
        public TableReadEvent fires() {
            return TableReadEvent.RETRY_DUE;
        }

        @Override
        public long delayNanos(TableReadData data, long now) {
            return data.controller().retryDelayNanos(data.failures());
        }
    },
    /** Delays the next pass over all tables. */
    REREAD {
        @Override
        public TableReadEvent fires() {
            return TableReadEvent.REREAD_DUE;
        }

        @Override
        public long delayNanos(TableReadData data, long now) {
            return data.controller().rereadDelayNanos();
        }
    }
}
