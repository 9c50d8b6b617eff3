package org.verbenamast.core.gate.crash;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers in the chart of a suspected request. */
public enum SuspectTimer implements TimerRule<SuspectEvent, SuspectData> {
    /** Waits until it is told whether the backend servers crashed. */
    RESOLVE {
        @Override
        public SuspectEvent fires() {
            return SuspectEvent.RESOLVE_DUE;
        }

        @Override
        public long delayNanos(SuspectData data, long now) {
            return Timing.millisToNanos(RESOLVE_MILLIS);
        }
    },
    /** Waits until a suspicion after one incident is dropped. */
    SUSPICION {
        @Override
        public SuspectEvent fires() {
            return SuspectEvent.EXPIRED;
        }

        @Override
        public long delayNanos(SuspectData data, long now) {
            return Timing.millisToNanos(SUSPICION_MILLIS);
        }
    },
    /** Waits until a request that crashed two backend servers was not sent for a day. */
    BAN {
        @Override
        public SuspectEvent fires() {
            return SuspectEvent.EXPIRED;
        }

        @Override
        public long delayNanos(SuspectData data, long now) {
            return Timing.millisToNanos(BAN_MILLIS);
        }
    };

    private static final long RESOLVE_MILLIS = 10_000;
    private static final long SUSPICION_MILLIS = 600_000;
    private static final long BAN_MILLIS = 86_400_000;
}
