package org.verbenamast.relay.telemetry;

import java.util.Objects;

/**
 * How a request ended at a hop.
 *
 * @param outcome what was decided
 * @param reason why; empty where it was served
 * @param attemptId the id of the caller's attempt
 * @param route the name of the manifest's route; empty where none is known
 * @param elapsedNanos time since it came to this hop, in nanoseconds
 */
public record RequestEnd(String outcome, String reason, String attemptId, String route, long elapsedNanos) {

    private static final String ANSWERED = "answered";

    /** Checks the fields. */
    public RequestEnd {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(attemptId, "id");
        Objects.requireNonNull(route, "route");
    }

    /**
     * Makes the end of a request that a server answered.
     *
     * @param id the id of the caller's attempt
     * @param route the name of the manifest's route
     * @param nanos time since it came to this hop, in nanoseconds
     * @return the end
     */
    public static RequestEnd answered(String id, String route, long nanos) {
        return new RequestEnd(ANSWERED, "", id, route, nanos);
    }

    /**
     * Tells whether the request was served.
     *
     * @return whether a server answered it
     */
    public boolean served() {
        return outcome.equals(ANSWERED);
    }
}
