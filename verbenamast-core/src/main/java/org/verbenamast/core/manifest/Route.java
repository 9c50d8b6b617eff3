package org.verbenamast.core.manifest;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * A route: requests of one host whose path begins with a prefix.
 *
 * @param name the route's name
 * @param host the host name that requests give
 * @param prefix the beginning of the path, from slash to slash
 * @param kind what may be repeated
 * @param timeoutMillis the longest time that a caller is kept waiting, in milliseconds
 * @param objectiveMillis the latency objective, in milliseconds
 * @param priority the rank, where 0 is the most urgent
 * @param maxAttempts the most backend servers that one request may be sent to
 * @param splits the services that the requests go to, by weight; at least one
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
        Checks.positive("parts", splits.size());
    }

    /**
     * Picks the service for one request; each part is picked in proportion to its weight.
     *
     * @param draw a number drawn evenly from 0 (included) to 1 (excluded)
     * @return the service's name
     */
    public String selectService(double draw) {
        long total = splits.stream().mapToLong(Split::weight).sum();
        double left = draw * total;
        for (Split part : splits) {
            left -= part.weight();
            if (left < 0) {
                return part.service();
            }
        }
        return splits.get(splits.size() - 1).service();
    }
}
