package org.verbenamast.core.request.peer;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers in the chart of a member's health. */
public enum HealthTimer implements TimerRule<HealthEvent, HealthData> {
    /** Fires at the end of the pause, when the member may be probed. */
    PAUSE {
        @Override
        public HealthEvent fires() {
            return HealthEvent.PAUSE_OVER;
        }

        @Override
        public long delayNanos(HealthData data, long now) {
            return Timing.millisToNanos(data.pauseMillis());
        }
    },
    /** Fires if the outcome of a probe is overdue; the next request then probes the member again. */
    PROBE_TIMEOUT {
        @Override
        public HealthEvent fires() {
            return HealthEvent.PAUSE_OVER;
        }

        @Override
        public long delayNanos(HealthData data, long now) {
            return Timing.millisToNanos(HealthData.MAX_PAUSE_MILLIS);
        }
    }
}
