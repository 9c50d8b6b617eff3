package org.verbenamast.core.backend;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers of chart {@code notice-request}, a notice of the backend server. */
public enum NoticeTimer implements TimerRule<NoticeEvent, NoticeData> {
    /** Expires before the sender stops waiting, which it does after a second. */
    ANSWER_TIMEOUT {
        @Override
        public NoticeEvent fires() {
            return NoticeEvent.EXPIRED;
        }

        @Override
        public long delayNanos(NoticeData data, long now) {
            return Timing.millisToNanos(ANSWER_TIMEOUT_MILLIS);
        }
    };

    /** Time for which the answer to a notice is held back at most, in milliseconds. */
    private static final long ANSWER_TIMEOUT_MILLIS = 850;
}
