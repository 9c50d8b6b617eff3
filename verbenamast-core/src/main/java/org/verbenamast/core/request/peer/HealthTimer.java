package org.verbenamast.core.request.peer;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers in the chart of a member that this node sends requests to. */
public enum HealthTimer implements TimerRule<HealthEvent, HealthData> {
    /** Waits before the member is probed. */
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
    /** Waits for the end of the probe. */
    PROBE {
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
