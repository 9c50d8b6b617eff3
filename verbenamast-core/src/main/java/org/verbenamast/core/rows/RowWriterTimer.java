package org.verbenamast.core.rows;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers of a part of a node that keeps rows in the store. */
public enum RowWriterTimer implements TimerRule<RowWriterEvent, RowWriterData> {
    /** Waits before the store is asked again. */
    PAUSE {
        @Override
        public RowWriterEvent fires() {
            return RowWriterEvent.PAUSE_OVER;
        }

        @Override
        public long delayNanos(RowWriterData data, long now) {
            return Timing.millisToNanos(PAUSE_MILLIS);
        }
    };

    /** Pause after a failed call, in milliseconds; a row is to be back within two seconds of an outage's end. */
    private static final long PAUSE_MILLIS = 400;
}
