package org.verbenamast.core.manifest;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * A route: the requests to a host whose path starts with a prefix.
 *
 * @param name the route's name
 * @param host the host name in the requests
 * @param prefix the prefix of the path, which starts and ends with a slash
 * @param kind whether requests may be repeated and have large answers
 * @param timeoutMillis the time-out of a request as its caller sees it, in milliseconds
 * @param objectiveMillis the latency objective, in milliseconds
 * @param priority the priority, where 0 is the most urgent
 * @param maxAttempts the maximum number of backend servers that a request may be sent to
 * @param isPublic whether callers need no key, even if the manifest has tenants
 * @param splits the services that receive the requests, with their weights; at least one
 */
public record Route(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        long timeoutMillis,
        long objectiveMillis,
        int priority,
        int maxAttempts,
        boolean isPublic,
        List<Split> splits) {

    /** Checks the fields and copies the list. */
    public Route {
        Checks.notBlank("name", name);
        Checks.notBlank("host", host);
        Checks.notBlank("prefix", prefix);
        Objects.requireNonNull(kind, "kind");
        Checks.positive("timeoutMillis", timeoutMillis);
        Checks.positive("objectiveMillis", objectiveMillis);
        Checks.notNegative("priority", priority);
        Checks.positive("maxAttempts", maxAttempts);
        splits = List.copyOf(splits);
        Checks.positive("splits", splits.size());
    }
}
