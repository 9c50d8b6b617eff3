package org.verbenamast.core.model;

import org.verbenamast.core.check.Checks;

/**
 * The name of a service that backend servers offer.
 *
 * @param value the name, as it stands first in a caller's path
 */
public record ServiceName(String value) {

    /** Checks that the name is not blank. */
    public ServiceName {
        Checks.notBlank("service", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
