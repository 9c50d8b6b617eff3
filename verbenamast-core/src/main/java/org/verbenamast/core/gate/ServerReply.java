package org.verbenamast.core.gate;

import java.util.Objects;

import org.verbenamast.core.request.RequestOutcome;

/**
 * How a call to the backend server ended.
 *
 * @param kind the kind of end
 * @param answer the backend server's answer, or null where there is none
 */
public record ServerReply(ServerReplyKind kind, RequestOutcome.Answered answer) {

    /** Checks the kind. */
    public ServerReply {
        Objects.requireNonNull(kind, "kind");
    }
}
