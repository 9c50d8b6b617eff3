package org.verbenamast.core.gate.crash;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers of chart {@code suspect}, a suspected request. */
public enum SuspectTimer implements TimerRule<SuspectEvent, SuspectData> {
    /** Limits the wait for the resolution of the incidents. */
    RESOLVE_TIMEOUT {
        @Override
        public SuspectEvent fires() {
            return SuspectEvent.RESOLVE_DUE;
        }

        @Override
        public long delayNanos(SuspectData data, long now) {
            return Timing.millisToNanos(RESOLVE_TIMEOUT_MILLIS);
        }
    },
    /** Ends the suspicion after a single incident. */
    SUSPICION_EXPIRY {
        @Override
        public SuspectEvent fires() {
            return SuspectEvent.EXPIRED;
        }

        @Override
        public long delayNanos(SuspectData data, long now) {
            return Timing.millisToNanos(SUSPICION_EXPIRY_MILLIS);
        }
    },
    /** Lifts the ban on a request that crashed two backend servers once it has not been sent for a day. */
    BAN_EXPIRY {
        @Override
        public SuspectEvent fires() {
            return SuspectEvent.EXPIRED;
        }

        @Override
        public long delayNanos(SuspectData data, long now) {
            return Timing.millisToNanos(BAN_EXPIRY_MILLIS);
        }
    };

    private static final long RESOLVE_TIMEOUT_MILLIS = 10_000;
    private static final long SUSPICION_EXPIRY_MILLIS = 600_000;
    private static final long BAN_EXPIRY_MILLIS = 86_400_000;
}
