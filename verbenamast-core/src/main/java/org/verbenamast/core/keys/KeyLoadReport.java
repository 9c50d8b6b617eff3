package org.verbenamast.core.keys;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.roster.ServerIncarnation;

/**
 * A node's report to the planner on the server beside it and on the keys that were requested.
 *
 * @param service the service
 * @param incarnation the incarnation of the server
 * @param slots the number of requests that the server processes concurrently
 * @param serviceMillis the recent service time of a request, for which it occupies a slot, in milliseconds
 * @param cold whether the server is cold: it has just started and sustains only a low rate
 * @param keys the keys of the requests received since the last report, one for each request
 */
public record KeyLoadReport(
        String service, ServerIncarnation incarnation, int slots, int serviceMillis, boolean cold, List<Integer> keys) {

    /** Checks the fields and copies the list. */
    public KeyLoadReport {
        Checks.notBlank("service", service);
        Objects.requireNonNull(incarnation, "incarnation");
        Checks.positive("slots", slots);
        Checks.positive("serviceMillis", serviceMillis);
        keys = List.copyOf(keys);
    }
}
