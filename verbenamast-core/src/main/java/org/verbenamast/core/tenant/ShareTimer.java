package org.verbenamast.core.tenant;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers of chart {@code cap-share}, a node's share of the caps. */
public enum ShareTimer implements TimerRule<ShareEvent, ShareData> {
    /** Ends the time for which the share is ceded. */
    TERM {
        @Override
        public ShareEvent fires() {
            return ShareEvent.TERM_OVER;
        }

        @Override
        public long delayNanos(ShareData data, long now) {
            return Math.max(0, data.cededUntil() - now);
        }
    };

    /** Time for which a report cedes the share, in nanoseconds; two or three reports. */
    static final long TERM_NANOS = Timing.millisToNanos(1_000);
}
