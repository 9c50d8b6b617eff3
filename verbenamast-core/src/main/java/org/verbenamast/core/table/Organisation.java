package org.verbenamast.core.table;

import org.verbenamast.core.check.Checks;

/**
 * One of the two organisations that own the fleet jointly.
 *
 * @param value the organisation's name
 */
public record Organisation(String value) {

    /** Validates that the name is not blank. */
    public Organisation {
        Checks.notBlank("organisation", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
