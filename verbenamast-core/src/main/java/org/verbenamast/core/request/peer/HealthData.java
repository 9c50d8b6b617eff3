package org.verbenamast.core.request.peer;

import org.verbenamast.core.check.Checks;

/**
 * What a node counts of a member that it sends requests to.
 *
 * @param consecutiveFailures the failures in a row
 * @param failuresToPark how many failures in a row park the member
 * @param pauseMillis how long the member is parked next, in milliseconds
 */
public record HealthData(int consecutiveFailures, int failuresToPark, long pauseMillis) {

    static final long MAX_PAUSE_MILLIS = 5_000;

    private static final int FAILURES_TO_PARK = 2;
    private static final long FIRST_PAUSE_MILLIS = 100;

    /** Checks the numbers. */
    public HealthData {
        Checks.notNegative("failures", consecutiveFailures);
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
