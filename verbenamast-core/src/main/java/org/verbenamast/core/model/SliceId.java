package org.verbenamast.core.model;

import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * A slice: one of a fixed number of partitions into which the keys of a service are hashed.
 *
 * @param service the service
 * @param number the slice's number, starting at zero
 */
public record SliceId(ServiceName service, int number) {

    /** Checks the service and the number. */
    public SliceId {
        Objects.requireNonNull(service, "service");
        Checks.notNegative("number", number);
    }

    @Override
    public String toString() {
        return service.value() + '#' + number;
    }
}
