package org.verbenamast.it.check;

import java.util.Arrays;
import java.util.Objects;

import org.verbenamast.standins.server.Patterns;

/**
 * One request of a caller and what came of it.
 *
 * @param key the key
 * @param method the HTTP method
 * @param path the path, as the backend server sees it, without a query
 * @param bytes how many bytes were asked for
 * @param idempotencyKey the caller's key for resends, which no other request has
 * @param startMicros when it was sent, on the clock that all processes of the machine share, in microseconds
 * @param endMicros when it ended, on the same clock
 * @param outcome how it ended
 * @param reason the reason that the node named, or an empty text
 * @param body the answer's body
 */
public record Ask(
        String key,
        String method,
        String path,
        int bytes,
        String idempotencyKey,
        long startMicros,
        long endMicros,
        AskOutcome outcome,
        String reason,
        byte[] body) {

    /** Checks that there is an outcome. */
    public Ask {
        Objects.requireNonNull(outcome, "outcome");
        body = body.clone();
    }

    boolean mayRepeat() {
        return !"POST".equals(method);
    }

    boolean holdsItsOwnAnswer() {
        return !mayRepeat() || Arrays.equals(body, Patterns.of(path, bytes));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Ask ask && idempotencyKey.equals(ask.idempotencyKey);
    }

    @Override
    public int hashCode() {
        return idempotencyKey.hashCode();
    }
}
