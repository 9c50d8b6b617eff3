package org.verbenamast.core.admission;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.roster.ServerIncarnation;

/**
 * What the gate knows of the server behind it.
 *
 * @param incarnation the run of the server
 * @param service its service
 * @param slots the requests that it runs at once
 * @param coldUntil when it bears full load, in nanoseconds
 * @param coldPerSecond the requests a second that it bears while it is cold; 0 for any number
 * @param keyedUntil until when a leaving server still gets requests for keys that it holds, in nanoseconds; 0 where it
 *     is not leaving
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
        Objects.requireNonNull(incarnation, "life");
        Checks.notBlank("service", service);
        Checks.positive("slots", slots);
        Checks.finiteNotNegative("coldPerSecond", coldPerSecond);
    }

    boolean isLeaving() {
        return keyedUntil != 0;
    }
}
