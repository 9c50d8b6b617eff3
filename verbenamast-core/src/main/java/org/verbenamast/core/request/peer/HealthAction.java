package org.verbenamast.core.request.peer;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The actions in the chart of a member's health. */
public enum HealthAction implements Action<HealthData, HealthEvent> {
    /** Counts one more consecutive failure. */
    COUNT_FAILURE {
        @Override
        public HealthData apply(HealthData data, HealthEvent input, long now, Effects effects) {
            return data.withFailure();
        }
    },
    /** Counts the failure and doubles the next pause. */
    DOUBLE_PAUSE {
        @Override
        public HealthData apply(HealthData data, HealthEvent input, long now, Effects effects) {
            return data.withDoubledPause();
        }
    },
    /** Resets the failure count and the pause. */
    RESET {
        @Override
        public HealthData apply(HealthData data, HealthEvent input, long now, Effects effects) {
            return data.reset();
        }
    }
}
