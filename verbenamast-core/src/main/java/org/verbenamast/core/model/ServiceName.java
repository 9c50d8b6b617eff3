package org.verbenamast.core.model;

import org.verbenamast.core.check.Checks;

/**
 * The name of a service that backend servers offer.
 *
 * @param value the name: the first segment of the path in a caller's request
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
