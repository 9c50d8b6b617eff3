package org.verbenamast.core.request.peer;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The steps in the chart of a member that this node sends requests to. */
public enum HealthAction implements Action<HealthData, HealthEvent> {
    /** Counts a failure. */
    COUNT_FAILURE {
        @Override
        public HealthData apply(HealthData data, HealthEvent input, long now, Effects effects) {
            return data.withFailure();
        }
    },
    /** Doubles the next pause. */
    DOUBLE_PAUSE {
        @Override
        public HealthData apply(HealthData data, HealthEvent input, long now, Effects effects) {
            return data.withDoubledPause();
        }
    },
    /** Forgets the failures. */
    RESET {
        @Override
        public HealthData apply(HealthData data, HealthEvent input, long now, Effects effects) {
            return data.reset();
        }
    }
}
