package org.verbenamast.core.request;

import java.util.Objects;

/**
 * The input that an event carries to the chart of a request at its entry node.
 *
 * @param router chooses the member for each attempt
 * @param attemptNumber the number of the attempt that the event concerns, or 0 if it concerns none
 * @param outcome the outcome of the attempt, or null if the event has none
 */
public record RequestInput(Router router, int attemptNumber, RequestOutcome outcome) {

    /** Checks that the router is not null. */
    public RequestInput {
        Objects.requireNonNull(router, "router");
    }
}
