package org.verbenamast.core.keys;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.roster.ServerIncarnation;

/**
 * A backend server that may own keys.
 *
 * @param life its run
 * @param capacity the requests that it runs at once divided by the time that one takes; only ratios matter
 */
public record KeyCandidate(ServerIncarnation life, double capacity) {

    /** Checks the fields. */
    public KeyCandidate {
        Objects.requireNonNull(life, "life");
        Checks.finiteNotNegative("capacity", capacity);
    }
}
