package org.verbenamast.core.roster;

import org.verbenamast.core.check.Checks;

/**
 * One run of a backend server. A server that starts again under its earlier id has another start time.
 *
 * @param id the server's id
 * @param startedAt when this run began, in milliseconds of the server's time of day; 0 where the server does not tell
 */
public record ServerIncarnation(String id, long startedAt) {

    /** Checks the id. */
    public ServerIncarnation {
        Checks.notBlank("id", id);
        Checks.notNegative("startedAt", startedAt);
    }

    @Override
    public String toString() {
        return id + '@' + startedAt;
    }
}
