package org.verbenamast.core.admission;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.roster.ServerIncarnation;

/**
 * The status of the server beside this node, as far as admission depends on it.
 *
 * @param incarnation the incarnation of the server
 * @param service the service that the server belongs to
 * @param slots the requests that the server can run at once
 * @param coldUntil when the server stops being cold and accepts full load, in nanoseconds of the monotonic clock
 * @param coldPerSecond the requests per second that the server accepts while it is cold; 0 for no limit
 * @param keyedUntil until when a leaving server still receives requests for the keys that it holds, in nanoseconds of
 *     the monotonic clock; 0 if the server is not leaving
 */
public record ServerStatus(
        ServerIncarnation incarnation,
        String service,
        int slots,
        long coldUntil,
        double coldPerSecond,
        long keyedUntil) {

    /** Checks the fields. */
    public ServerStatus {
        Objects.requireNonNull(incarnation, "incarnation");
        Checks.notBlank("service", service);
        Checks.positive("slots", slots);
        Checks.finiteNotNegative("coldPerSecond", coldPerSecond);
    }

    boolean isLeaving() {
        return keyedUntil != 0;
    }
}
