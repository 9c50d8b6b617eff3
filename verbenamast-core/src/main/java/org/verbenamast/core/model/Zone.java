package org.verbenamast.core.model;

import org.verbenamast.core.check.Checks;

/**
 * An availability zone.
 *
 * @param name the zone's name
 */
public record Zone(String name) {

    /** Checks that the name is not blank. */
    public Zone {
        Checks.notBlank("zone", name);
    }

    @Override
    public String toString() {
        return name;
    }
}
