package org.verbenamast.node.peer;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers in the chart of a link. */
public enum LinkTimer implements TimerRule<LinkEvent, LinkData> {
    /** Waits before a connection is tried again. */
    PAUSE {
        @Override
        public LinkEvent fires() {
            return LinkEvent.PAUSE_OVER;
        }

        @Override
        public long delayNanos(LinkData data, long now) {
            return Timing.millisToNanos(PAUSE_MILLIS);
        }
    };

    private static final long PAUSE_MILLIS = 100;
}
