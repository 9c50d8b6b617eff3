package org.verbenamast.core.keys;

import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * The identity of a node and the settings of its key grants.
 *
 * @param node the node's name
 * @param nodeIncarnation the incarnation of the node: a number that no earlier incarnation had
 * @param service the service of the server beside it
 * @param timings the durations of key lease and grants
 * @param startedAt when the node started, as monotonic time in nanoseconds
 */
public record KeyControllerSettings(
        String node, long nodeIncarnation, String service, KeyLeaseTimings timings, long startedAt) {

    /** Checks the fields. */
    public KeyControllerSettings {
        Checks.notBlank("node", node);
        Checks.notBlank("service", service);
        Objects.requireNonNull(timings, "timings");
    }
}
