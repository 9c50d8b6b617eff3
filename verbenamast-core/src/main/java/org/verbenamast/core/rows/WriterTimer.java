package org.verbenamast.core.rows;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers of a part of a node that keeps rows in the store. */
public enum WriterTimer implements TimerRule<WriterEvent, WriterData> {
    /** Waits before the store is asked again. */
    PAUSE {
        @Override
        public WriterEvent fires() {
            return WriterEvent.PAUSE_OVER;
        }

        @Override
        public long delayNanos(WriterData data, long now) {
            return Timing.nanos(PAUSE_MILLIS);
        }
    };

    /** Pause after a failed call, in milliseconds; a row is to be back within two seconds of an outage's end. */
    private static final long PAUSE_MILLIS = 400;
}
