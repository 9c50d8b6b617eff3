package org.verbenamast.core.gate;

import java.util.Objects;

import org.verbenamast.core.request.RequestOutcome;

/**
 * What an event tells a request at the member whose backend server is to run it.
 *
 * @param gate the backend server's limits, queue and records
 * @param outcome how the run ended, or null for other events
 * @param reply how the call to the backend server ended, or null for other events
 * @param attempt the number of the try that came in, or 0 for other events
 */
public record ExecutionInput(BackendAccess gate, RequestOutcome outcome, ServerReply reply, int attempt) {

    /** Checks the gate. */
    public ExecutionInput {
        Objects.requireNonNull(gate, "gate");
    }

    static ExecutionInput plain(BackendAccess gate) {
        return new ExecutionInput(gate, null, null, 0);
    }

    static ExecutionInput replied(BackendAccess gate, ServerReply reply) {
        return new ExecutionInput(gate, reply.kind().outcome(reply), reply, 0);
    }

    static ExecutionInput offered(BackendAccess gate, int attempt) {
        return new ExecutionInput(gate, null, null, attempt);
    }
}
