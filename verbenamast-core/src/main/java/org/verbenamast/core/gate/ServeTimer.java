package org.verbenamast.core.gate;

import org.verbenamast.core.chart.TimerRule;

/** The timers in the chart of a request at the member whose backend server is to run it. */
public enum ServeTimer implements TimerRule<ServeEvent, ServeData> {
    /** Waits until the caller gives up. */
    DEADLINE {
        @Override
        public ServeEvent fires() {
            return ServeEvent.DEADLINE_DUE;
        }

        @Override
        public long delayNanos(ServeData data, long now) {
            return Math.max(0, data.deadline() - now);
        }
    }
}
