package org.verbenamast.core.watch;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers of the chart of a followed table. */
public enum FollowTimer implements TimerRule<FollowEvent, FollowData> {
    /** Delays the call after a change, so that changes in quick succession cost one call. */
    BATCH_DELAY {
        @Override
        public FollowEvent fires() {
            return FollowEvent.PAUSE_OVER;
        }

        @Override
        public long delayNanos(FollowData data, long now) {
            return Math.max(0, data.resumeAt() - now);
        }
    },
    /** Detects a call whose answer was lost in the network. */
    SILENCE_TIMEOUT {
        @Override
        public FollowEvent fires() {
            return FollowEvent.SILENT;
        }

        @Override
        public long delayNanos(FollowData data, long now) {
            return Math.max(0, data.silenceDueAt() - now);
        }
    },
    /** Gives rows that another node knows the time to arrive in an answer to the pending call. */
    CATCH_UP_DELAY {
        @Override
        public FollowEvent fires() {
            return FollowEvent.CATCH_UP;
        }

        @Override
        public long delayNanos(FollowData data, long now) {
            return untilNextCall(data, now);
        }
    },
    /** Gives rows that another node knows the time to arrive without a call, though no longer than the batch delay. */
    ROW_DELAY {
        @Override
        public FollowEvent fires() {
            return FollowEvent.CATCH_UP;
        }

        @Override
        public long delayNanos(FollowData data, long now) {
            return Math.max(0, Math.min(untilNextCall(data, now), data.resumeAt() - now));
        }
    },
    /** Delays the next call after a failed one; grows with each consecutive failure. */
    RETRY_DELAY {
        @Override
        public FollowEvent fires() {
            return FollowEvent.PAUSE_OVER;
        }

        @Override
        public long delayNanos(FollowData data, long now) {
            long attempts = Math.max(data.calls().failures(), data.calls().lostHistories());
            return Timing.millisToNanos(Math.min(MAX_RETRY_DELAY_MILLIS, INITIAL_RETRY_DELAY_MILLIS * attempts));
        }
    };

    /** Time for rows to arrive without a further call; several round trips between availability zones. */
    private static final long CATCH_UP_DELAY_NANOS = Timing.millisToNanos(300);
    /**
     * Minimum time between calls that are caused by the versions of other nodes; a third of the 3 s within which the
     * platform expects a node to be in contact after an impairment.
     */
    private static final long MIN_CALL_INTERVAL_NANOS = Timing.millisToNanos(1_000);
    /** Maximum of that time, to which it grows while no call is answered; leaves a third of the 3 s for an answer. */
    private static final long MAX_CALL_INTERVAL_NANOS = Timing.millisToNanos(2_000);
    /** Retry delay after the first failed call. */
    private static final long INITIAL_RETRY_DELAY_MILLIS = 100;
    /** Maximum retry delay; lets a node know all rows within 2 s after an outage ends. */
    private static final long MAX_RETRY_DELAY_MILLIS = 600;

    /** Returns the time until a call that is caused by the versions of other nodes, in nanoseconds. */
    private static long untilNextCall(FollowData data, long now) {
        long replacements = Math.max(1, data.calls().unanswered() - 1);
        long interval = Math.min(MAX_CALL_INTERVAL_NANOS, MIN_CALL_INTERVAL_NANOS * replacements);
        return Math.max(CATCH_UP_DELAY_NANOS, data.calls().lastSentAt() + interval - now);
    }
}
