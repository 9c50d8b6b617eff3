package org.verbenamast.core.gate;

import java.util.Objects;

import org.verbenamast.core.request.RequestOutcome;

/**
 * The input of an event of chart {@code serve}.
 *
 * @param backend the access to the backend server, with its limit, queue and records
 * @param outcome the outcome of the run, or null for other events
 * @param reply how the call to the backend server ended, or null for other events
 * @param attempt the number of the attempt that arrived, or 0 for other events
 */
public record ExecutionInput(BackendAccess backend, RequestOutcome outcome, ServerReply reply, int attempt) {

    /** Checks that the access to the backend server is not null. */
    public ExecutionInput {
        Objects.requireNonNull(backend, "backend");
    }

    static ExecutionInput empty(BackendAccess backend) {
        return new ExecutionInput(backend, null, null, 0);
    }

    static ExecutionInput ofReply(BackendAccess backend, ServerReply reply) {
        return new ExecutionInput(backend, reply.kind().outcome(reply), reply, 0);
    }

    static ExecutionInput ofAttempt(BackendAccess backend, int attempt) {
        return new ExecutionInput(backend, null, null, attempt);
    }
}
