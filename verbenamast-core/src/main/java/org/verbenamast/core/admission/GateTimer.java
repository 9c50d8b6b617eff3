package org.verbenamast.core.admission;

import org.verbenamast.core.chart.TimerRule;

/** The timers of a request at the gate. */
public enum GateTimer implements TimerRule<GateEvent, GateData> {
    /** Waits until too little time is left for the server to answer. */
    PATIENCE {
        @Override
        public GateEvent fires() {
            return GateEvent.PATIENCE_OVER;
        }

        @Override
        public long delayNanos(GateData data, long now) {
            return Math.max(0, data.request().deadlineAt() - data.serviceNanos() - now);
        }
    },
    /** Waits until the caller gives up. */
    DEADLINE {
        @Override
        public GateEvent fires() {
            return GateEvent.TIME_OVER;
        }

        @Override
        public long delayNanos(GateData data, long now) {
            return Math.max(0, data.request().deadlineAt() - now);
        }
    }
}
