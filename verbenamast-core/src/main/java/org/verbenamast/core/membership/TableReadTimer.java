package org.verbenamast.core.membership;

import org.verbenamast.core.chart.TimerRule;

/** The timers in the chart of this node's reading of the tables. */
public enum TableReadTimer implements TimerRule<TableReadEvent, TableReadData> {
    /** Waits before a table is read again that could not be read. */
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
    /** Waits before all tables are read again. */
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
