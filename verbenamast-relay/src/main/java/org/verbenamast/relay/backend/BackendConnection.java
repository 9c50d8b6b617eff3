package org.verbenamast.relay.backend;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

import org.verbenamast.relay.net.HttpLink;

/**
 * A connection to the backend server.
 *
 * @param link carries the requests
 * @param refusedIds the ids of the requests that the server has refused on this connection. Such a request must not be
 *     sent on it again: a copy of the refusal, if it came late, would be taken for the answer.
 */
record BackendConnection(HttpLink link, Set<String> refusedIds) {

    /** Number of refusals after which the connection is not used again. */
    private static final int MAX_REFUSALS = 100;

    /** Checks that no field is missing. */
    BackendConnection {
        Objects.requireNonNull(link, "link");
        Objects.requireNonNull(refusedIds, "refusedIds");
    }

    static BackendConnection of(HttpLink link) {
        return new BackendConnection(link, new HashSet<>());
    }

    boolean isReusable() {
        return link.reusable() && refusedIds.size() < MAX_REFUSALS;
    }
}
