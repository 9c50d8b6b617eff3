package org.verbenamast.core.admission;

import java.util.Objects;
import java.util.OptionalInt;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.manifest.RequestKind;
import org.verbenamast.core.roster.ServerIncarnation;

/**
 * A request that another node, or this one, sends to the server beside this node.
 *
 * @param id the number under which this node keeps the request
 * @param attemptId the id that the caller gave this attempt
 * @param route the name of the route; requests of one route have similar service times
 * @param service the service that the request is for
 * @param incarnation the incarnation of the server that the request is for
 * @param kind whether the request may run again and how large its answer is
 * @param priority the priority of the route; 0 is the most urgent
 * @param key the key, if the keys of the service are divided among its servers
 * @param lastChance whether the sender does not ask another server if this one refuses the request
 * @param arrivedAt when the request arrived, in nanoseconds of the monotonic clock
 * @param objectiveAt when the request should be answered, in nanoseconds of the monotonic clock
 * @param deadlineAt when the caller gives up, in nanoseconds of the monotonic clock
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
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(key, "key");
    }

    boolean hasLargeAnswer() {
        return kind.hasLargeAnswers();
    }

    boolean hasLargeBody() {
        return kind.hasLargeBodies();
    }
}
