package org.verbenamast.core.backend;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers of chart {@code backend}, the backend server beside this node. */
public enum BackendTimer implements TimerRule<BackendEvent, BackendData> {
    /** Expires when no heartbeat has arrived for a while. */
    SILENCE_TIMEOUT {
        @Override
        public BackendEvent fires() {
            return BackendEvent.SILENT;
        }

        @Override
        public long delayNanos(BackendData data, long now) {
            return Timing.millisToNanos(SILENCE_TIMEOUT_MILLIS);
        }
    };

    /** Time without a heartbeat after which a server counts as lost; by then two or three heartbeats are missing. */
    private static final long SILENCE_TIMEOUT_MILLIS = 4_000;
}
