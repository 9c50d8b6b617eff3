package org.verbenamast.core.request;

import java.util.Objects;

/**
 * What an event tells a request at the member that took it from its caller.
 *
 * @param router chooses where requests go
 * @param outcome how the request ended, or null for other events
 */
public record EntryInput(Router router, RequestOutcome outcome) {

    /** Checks the router. */
    public EntryInput {
        Objects.requireNonNull(router, "router");
    }
}
