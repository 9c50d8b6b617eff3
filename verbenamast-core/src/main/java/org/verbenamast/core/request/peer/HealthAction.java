package org.verbenamast.core.request.peer;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The steps in the chart of a member that this node sends requests to. */
public enum HealthAction implements Action<HealthData, HealthEvent> {
    /** Counts a failure. */
    COUNT_FAILURE {
        @Override
        public HealthData apply(HealthData data, HealthEvent input, long now, Effects effects) {
            return data.failed();
        }
    },
    /** Doubles the next pause. */
    LENGTHEN_PAUSE {
        @Override
        public HealthData apply(HealthData data, HealthEvent input, long now, Effects effects) {
            return data.parkedAgain();
        }
    },
    /** Forgets the failures. */
    CLEAR {
        @Override
        public HealthData apply(HealthData data, HealthEvent input, long now, Effects effects) {
            return data.cleared();
        }
    }
}
