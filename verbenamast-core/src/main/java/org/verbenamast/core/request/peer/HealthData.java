package org.verbenamast.core.request.peer;

import org.verbenamast.core.check.Checks;

/**
 * The data on the health of a member that this node sends requests to.
 *
 * @param consecutiveFailures the number of consecutive failures
 * @param failuresToPark the number of consecutive failures at which the member is parked
 * @param pauseMillis how long the member will be parked next, in milliseconds
 */
public record HealthData(int consecutiveFailures, int failuresToPark, long pauseMillis) {

    static final long MAX_PAUSE_MILLIS = 5_000;

    private static final int FAILURES_TO_PARK = 2;
    private static final long FIRST_PAUSE_MILLIS = 100;

    /** Checks the ranges of the numbers. */
    public HealthData {
        Checks.notNegative("consecutiveFailures", consecutiveFailures);
        Checks.positive("failuresToPark", failuresToPark);
        Checks.positive("pauseMillis", pauseMillis);
    }

    static HealthData initial() {
        return new HealthData(0, FAILURES_TO_PARK, FIRST_PAUSE_MILLIS);
    }

    HealthData withFailure() {
        return new HealthData(consecutiveFailures + 1, failuresToPark, pauseMillis);
    }

    HealthData withDoubledPause() {
        return new HealthData(consecutiveFailures + 1, failuresToPark, Math.min(MAX_PAUSE_MILLIS, pauseMillis * 2));
    }

    HealthData reset() {
        return initial();
    }
}
