package org.verbenamast.relay.telemetry;

import java.util.Objects;

/**
 * How a request ended at a hop.
 *
 * @param outcome how it ended
 * @param reason why it ended so; empty if it was served
 * @param attemptId the id of the caller's attempt
 * @param route the name of the manifest's route; empty if none is known
 * @param elapsedNanos time since the request arrived at this hop, in nanoseconds
 */
public record RequestEnd(String outcome, String reason, String attemptId, String route, long elapsedNanos) {

    private static final String ANSWERED = "answered";

    /** Checks that no text is missing. */
    public RequestEnd {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(attemptId, "attemptId");
        Objects.requireNonNull(route, "route");
    }

    /**
     * Creates the end of a request that a server answered.
     *
     * @param attemptId the id of the caller's attempt
     * @param route the name of the manifest's route
     * @param elapsedNanos time since the request arrived at this hop, in nanoseconds
     * @return the end
     */
    public static RequestEnd answered(String attemptId, String route, long elapsedNanos) {
        return new RequestEnd(ANSWERED, "", attemptId, route, elapsedNanos);
    }

    /**
     * Returns whether the request was served.
     *
     * @return whether a server answered it
     */
    public boolean served() {
        return outcome.equals(ANSWERED);
    }
}
