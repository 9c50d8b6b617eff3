package org.verbenamast.core.gate.limit;

import org.verbenamast.core.chart.TimerRule;

/** The timers of chart {@code server}, the backend server beside this node. */
public enum ServerTimer implements TimerRule<ServerEvent, ServerData> {
    /** Expires when no announcement has arrived for several times the usual interval. */
    SILENCE_TIMEOUT {
        @Override
        public ServerEvent fires() {
            return ServerEvent.SILENT;
        }

        @Override
        public long delayNanos(ServerData data, long now) {
            return data.silenceTimeoutNanos();
        }
    }
}
