package org.verbenamast.core.backend;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers of the server beside this node. */
public enum BackendTimer implements TimerRule<BackendEvent, BackendData> {
    /** Waits for the next heartbeat. */
    SILENCE {
        @Override
        public BackendEvent fires() {
            return BackendEvent.SILENT;
        }

        @Override
        public long delayNanos(BackendData data, long now) {
            return Timing.millisToNanos(SILENCE_MILLIS);
        }
    };

    /** Time without a heartbeat after which a server counts as lost, in milliseconds; two or three are missing then. */
    private static final long SILENCE_MILLIS = 4_000;
}
