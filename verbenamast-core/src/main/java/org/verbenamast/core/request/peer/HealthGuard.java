package org.verbenamast.core.request.peer;

import org.verbenamast.core.chart.Guard;

/** The conditions in the chart of a member that this node sends requests to. */
public enum HealthGuard implements Guard<HealthData, HealthEvent> {
    /** The member failed less often in a row than it takes to park it. */
    FEW_FAILURES {
        @Override
        public boolean permits(HealthData data, HealthEvent input, long now) {
            return data.consecutiveFailures() + 1 < data.failuresToPark();
        }
    }
}
