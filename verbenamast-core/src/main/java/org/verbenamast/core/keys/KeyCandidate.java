package org.verbenamast.core.keys;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.roster.ServerIncarnation;

/**
 * A backend server that may own keys.
 *
 * @param incarnation the incarnation of the server
 * @param capacity the number of requests that it processes concurrently, divided by the service time of one; only
 *     ratios between candidates matter
 */
public record KeyCandidate(ServerIncarnation incarnation, double capacity) {

    /** Checks the fields. */
    public KeyCandidate {
        Objects.requireNonNull(incarnation, "incarnation");
        Checks.finiteNotNegative("capacity", capacity);
    }
}
