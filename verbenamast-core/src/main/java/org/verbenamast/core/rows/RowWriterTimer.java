package org.verbenamast.core.rows;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers of the chart of a row writer. */
public enum RowWriterTimer implements TimerRule<RowWriterEvent, RowWriterData> {
    /** Delays the next call after a failed one. */
    RETRY_DELAY {
        @Override
        public RowWriterEvent fires() {
            return RowWriterEvent.PAUSE_OVER;
        }

        @Override
        public long delayNanos(RowWriterData data, long now) {
            return Timing.millisToNanos(RETRY_DELAY_MILLIS);
        }
    };

    /** Lets a row be up to date within 2 s after an outage ends. */
    private static final long RETRY_DELAY_MILLIS = 400;
}
