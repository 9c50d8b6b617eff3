package org.verbenamast.core.model;

import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * One of the fixed parts into which the keys of a service are hashed.
 *
 * @param service the service
 * @param number the part's number, from zero
 */
public record SliceId(ServiceName service, int number) {

    /** Checks the parts. */
    public SliceId {
        Objects.requireNonNull(service, "service");
        Checks.notNegative("number", number);
    }

    @Override
    public String toString() {
        return service.value() + '#' + number;
    }
}
