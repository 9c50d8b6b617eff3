package org.verbenamast.core.model;

import org.verbenamast.core.check.Checks;

/**
 * An availability zone, named by the operator.
 *
 * @param name the name; two zones with the same name are the same zone
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
