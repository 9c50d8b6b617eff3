package org.verbenamast.core.keys;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.roster.ServerIncarnation;

/**
 * What a node tells of the keys of the server beside it.
 *
 * @param service the service
 * @param incarnation the run of the server
 * @param slots the requests that the server runs at once
 * @param serviceMillis how long a request occupies one of them lately, in milliseconds
 * @param cold whether the server bears little since it has just started
 * @param keys the keys of the requests that came since the last report, one for each request
 */
public record KeyLoadReport(
        String service, ServerIncarnation incarnation, int slots, int serviceMillis, boolean cold, List<Integer> keys) {

    /** Checks the fields and copies the list. */
    public KeyLoadReport {
        Checks.notBlank("service", service);
        Objects.requireNonNull(incarnation, "life");
        Checks.positive("slots", slots);
        Checks.positive("serviceMillis", serviceMillis);
        keys = List.copyOf(keys);
    }
}
