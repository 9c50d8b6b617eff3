package org.verbenamast.core.entry;

import java.util.Objects;
import java.util.OptionalInt;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.manifest.Route;

/**
 * A request that this node, its entry node, received from a caller.
 *
 * @param id the number under which this node keeps the request
 * @param attemptId the id that the caller gave this attempt
 * @param route the route that the request matched
 * @param service the service that runs it
 * @param key the key, if the keys of the service are divided among its servers
 * @param arrivedAt when the request arrived, in nanoseconds of the monotonic clock
 * @param objectiveAt when the request should be answered, in nanoseconds of the monotonic clock
 * @param deadlineAt when the caller or the route gives up on the request, in nanoseconds of the monotonic clock
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
