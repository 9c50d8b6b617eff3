package org.verbenamast.core.request.peer;

import org.verbenamast.core.chart.Guard;

/** The guards in the chart of a member's health. */
public enum HealthGuard implements Guard<HealthData, HealthEvent> {
    /** With this failure, the consecutive failures are still too few to park the member. */
    FEW_FAILURES {
        @Override
        public boolean permits(HealthData data, HealthEvent input, long now) {
            return data.consecutiveFailures() + 1 < data.failuresToPark();
        }
    }
}
