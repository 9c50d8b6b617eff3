package org.verbenamast.core.entry;

import java.util.Objects;
import java.util.OptionalInt;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.manifest.Route;

/**
 * A request that this node took from a caller.
 *
 * @param id the number under which this node keeps it
 * @param attemptId the id that the caller gave it
 * @param route its route
 * @param service the service that runs it
 * @param key the key, where the service is divided by keys
 * @param arrivedAt when it came, in nanoseconds of the monotonic clock
 * @param objectiveAt when it should be answered, in nanoseconds
 * @param deadlineAt when the caller or the route gives it up, in nanoseconds
 */
public record EntryRequest(
        long id,
        String attemptId,
        Route route,
        String service,
        OptionalInt key,
        long arrivedAt,
        long objectiveAt,
        long deadlineAt) {

    /** Checks the fields. */
    public EntryRequest {
        Objects.requireNonNull(attemptId, "attemptId");
        Objects.requireNonNull(route, "route");
        Checks.notBlank("service", service);
        Objects.requireNonNull(key, "key");
    }
}
