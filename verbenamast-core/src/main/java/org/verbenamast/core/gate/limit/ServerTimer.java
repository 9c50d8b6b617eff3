package org.verbenamast.core.gate.limit;

import org.verbenamast.core.chart.TimerRule;

/** The timers in the chart of the backend server beside this node. */
public enum ServerTimer implements TimerRule<ServerEvent, ServerData> {
    /** Waits for the next announcement. */
    SILENCE {
        @Override
        public ServerEvent fires() {
            return ServerEvent.SILENT;
        }

        @Override
        public long delayNanos(ServerData data, long now) {
            return data.silenceNanos();
        }
    }
}
