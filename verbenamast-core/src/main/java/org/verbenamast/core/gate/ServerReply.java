package org.verbenamast.core.gate;

import java.util.Objects;

import org.verbenamast.core.request.RequestOutcome;

/**
 * How a call to the backend server ended.
 *
 * @param kind whether the server answered, and if not, why
 * @param answer the backend server's answer, or null where there is none
 */
public record ServerReply(ServerReplyKind kind, RequestOutcome.Answered answer) {

    /** Checks that the kind is not null. */
    public ServerReply {
        Objects.requireNonNull(kind, "kind");
    }
}
