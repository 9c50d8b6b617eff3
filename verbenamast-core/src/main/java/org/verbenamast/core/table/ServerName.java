package org.verbenamast.core.table;

import org.verbenamast.core.check.Checks;

/**
 * The name of a backend server: the name of the node beside it, which is stable across restarts.
 *
 * @param value the name
 */
public record ServerName(String value) implements Comparable<ServerName> {

    /** Validates that the name is not blank. */
    public ServerName {
        Checks.notBlank("server", value);
    }

    @Override
    public int compareTo(ServerName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
