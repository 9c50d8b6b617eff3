package org.verbenamast.core.watch;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers of a followed table. */
public enum FollowTimer implements TimerRule<FollowEvent, FollowData> {
    /** Waits after a change, so that changes that come together cost one call. */
    GATHER {
        @Override
        public FollowEvent fires() {
            return FollowEvent.PAUSE_OVER;
        }

        @Override
        public long delayNanos(FollowData data, long now) {
            return Math.max(0, data.resumeAt() - now);
        }
    },
    /** Finds a call that the network swallowed. */
    SILENCE {
        @Override
        public FollowEvent fires() {
            return FollowEvent.SILENT;
        }

        @Override
        public long delayNanos(FollowData data, long now) {
            return Math.max(0, data.silentFrom() - now);
        }
    },
    /** Leaves rows that another node knows the time to come in the usual way. */
    CATCH_UP {
        @Override
        public FollowEvent fires() {
            return FollowEvent.CATCH_UP;
        }

        @Override
        public long delayNanos(FollowData data, long now) {
            return Math.max(CATCH_UP_AFTER, data.calledAt() + SHORTEST_BETWEEN_CALLS - now);
        }
    },
    /** Waits after a failed call; longer after each further one. */
    RETRY {
        @Override
        public FollowEvent fires() {
            return FollowEvent.PAUSE_OVER;
        }

        @Override
        public long delayNanos(FollowData data, long now) {
            return Timing.millisToNanos(Math.min(MOST_PAUSE_MILLIS, FIRST_PAUSE_MILLIS * data.failures()));
        }
    };

    /** Time for rows to come in the usual way, in nanoseconds; some round trips between availability zones. */
    private static final long CATCH_UP_AFTER = Timing.millisToNanos(300);
    /** Shortest time between calls that news of others cause, in nanoseconds; a third of the time to be in touch. */
    private static final long SHORTEST_BETWEEN_CALLS = Timing.millisToNanos(1_000);
    /** First pause after a failed call, in milliseconds. */
    private static final long FIRST_PAUSE_MILLIS = 100;
    /** Longest pause after failed calls, in milliseconds; rows are known within two seconds of an outage's end. */
    private static final long MOST_PAUSE_MILLIS = 600;
}
