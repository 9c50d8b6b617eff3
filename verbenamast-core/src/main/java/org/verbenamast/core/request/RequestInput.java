package org.verbenamast.core.request;

import java.util.Objects;

/**
 * What an event tells a request at the member that took it from its caller.
 *
 * @param router chooses where requests go
 * @param attemptNumber the number of the try that the event is about, or 0
 * @param outcome how the try ended, or null for other events
 */
public record RequestInput(Router router, int attemptNumber, RequestOutcome outcome) {

    /** Checks the router. */
    public RequestInput {
        Objects.requireNonNull(router, "router");
    }
}
