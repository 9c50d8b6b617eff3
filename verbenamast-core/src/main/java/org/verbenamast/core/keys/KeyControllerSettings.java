package org.verbenamast.core.keys;

import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * Who a node is and what it may grant.
 *
 * @param node the node's name
 * @param run the run of the node, a number that no earlier run had
 * @param service the service of the server beside it
 * @param terms the time-outs
 * @param startedAt when the node started, in nanoseconds of the monotonic clock
 */
public record KeyControllerSettings(String node, long run, String service, KeyLeaseTimings terms, long startedAt) {

    /** Checks the fields. */
    public KeyControllerSettings {
        Checks.notBlank("node", node);
        Checks.notBlank("service", service);
        Objects.requireNonNull(terms, "terms");
    }
}
