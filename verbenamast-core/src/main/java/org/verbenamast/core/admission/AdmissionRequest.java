package org.verbenamast.core.admission;

import java.util.Objects;
import java.util.OptionalInt;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.manifest.RequestKind;
import org.verbenamast.core.roster.ServerIncarnation;

/**
 * A request that another node, or this one, wants to pass to the server beside this node.
 *
 * @param id the number under which this node keeps it
 * @param attemptId the id that the caller gave it
 * @param route the name of its route; requests of one route take about as long
 * @param service the service that it is for
 * @param incarnation the run of the server that it is for
 * @param kind what may be repeated
 * @param priority the rank, where 0 is the most urgent
 * @param key the key, where the service is divided by keys
 * @param lastChance whether no other server is left to ask
 * @param arrivedAt when it came, in nanoseconds of the monotonic clock
 * @param objectiveAt when it should be answered, in nanoseconds
 * @param deadlineAt when its caller gives up, in nanoseconds
 */
public record AdmissionRequest(
        long id,
        String attemptId,
        String route,
        String service,
        ServerIncarnation incarnation,
        RequestKind kind,
        int priority,
        OptionalInt key,
        boolean lastChance,
        long arrivedAt,
        long objectiveAt,
        long deadlineAt) {

    /** Checks the fields. */
    public AdmissionRequest {
        Checks.notBlank("service", service);
        Objects.requireNonNull(attemptId, "attemptId");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(incarnation, "life");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(key, "key");
    }
}
