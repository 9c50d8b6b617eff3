package org.verbenamast.core.stop;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers of chart {@code stop}, the planned stop of a node. */
public enum StopTimer implements TimerRule<StopEvent, StopData> {
    /** Ends the time for which the node takes requests, at half of the grace period at the latest. */
    LAST_REQUEST {
        @Override
        public StopEvent fires() {
            return StopEvent.LAST_REQUEST_DUE;
        }

        @Override
        public long delayNanos(StopData data, long now) {
            return Math.min(LONGEST_LEAVING_NANOS, data.graceNanos() / 2);
        }
    },
    /** Answers the requests that are still open. */
    LAST_ANSWER {
        @Override
        public StopEvent fires() {
            return StopEvent.LAST_ANSWER_DUE;
        }

        @Override
        public long delayNanos(StopData data, long now) {
            return Math.max(0, data.lastAnswerAt() - now);
        }
    },
    /** Ends the process. */
    EXIT {
        @Override
        public StopEvent fires() {
            return StopEvent.EXIT_DUE;
        }

        @Override
        public long delayNanos(StopData data, long now) {
            return Math.max(0, data.exitAt() - now);
        }
    };

    /** Time between the exit and the end of the grace period, in nanoseconds; the process is killed then. */
    static final long EXIT_MARGIN_NANOS = Timing.millisToNanos(600);
    /** Time to send the last answers before the exit, in nanoseconds. */
    static final long SENDING_NANOS = Timing.millisToNanos(200);
    /** Longest time for which a stopping node takes requests, in nanoseconds; callers notice within two seconds. */
    private static final long LONGEST_LEAVING_NANOS = Timing.millisToNanos(2_600);
}
