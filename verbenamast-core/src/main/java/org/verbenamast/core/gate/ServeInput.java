package org.verbenamast.core.gate;

import java.util.Objects;

/**
 * What an event tells a request at the member whose backend server is to run it.
 *
 * @param gate the backend server's limits and queue
 * @param reply how the call to the backend server ended, or null for other events
 */
public record ServeInput(Gate gate, ServerReply reply) {

    /** Checks the gate. */
    public ServeInput {
        Objects.requireNonNull(gate, "gate");
    }
}
