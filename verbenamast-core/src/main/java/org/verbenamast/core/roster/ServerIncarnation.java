package org.verbenamast.core.roster;

import org.verbenamast.core.check.Checks;

/**
 * One incarnation of a backend server, from a start of its process to its end. A server that restarts under the same id
 * has a different start time.
 *
 * @param id the server's id
 * @param startedAt the start time by the server's clock, in milliseconds; 0 where the server does not report it
 */
public record ServerIncarnation(String id, long startedAt) {

    /** Checks that the id is not blank and the start time not negative. */
    public ServerIncarnation {
        Checks.notBlank("id", id);
        Checks.notNegative("startedAt", startedAt);
    }

    @Override
    public String toString() {
        return id + '@' + startedAt;
    }
}
