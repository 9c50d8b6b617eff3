package org.verbenamast.core.relay;

import java.util.Objects;
import java.util.function.DoubleSupplier;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.keys.KeyLeaseTimings;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.Zone;

/**
 * Who a node is and what it keeps to.
 *
 * @param node the node's name
 * @param incarnation the run of the node, a number that no earlier run had
 * @param zone its availability zone
 * @param service the service of the server beside it
 * @param peer where it takes connections of other nodes
 * @param leaseTimings how long keys may be granted without the store
 * @param drainMillis how long a server that leaves may still get requests, in milliseconds
 * @param startedAt when the node started, in nanoseconds of the monotonic clock
 * @param random draws numbers evenly from 0 (included) to 1 (excluded)
 */
public record RelaySettings(
        String node,
        long incarnation,
        Zone zone,
        String service,
        Address peer,
        KeyLeaseTimings leaseTimings,
        long drainMillis,
        long startedAt,
        DoubleSupplier random) {

    /** Checks the fields. */
    public RelaySettings {
        Checks.notBlank("node", node);
        Objects.requireNonNull(zone, "zone");
        Checks.notBlank("service", service);
        Objects.requireNonNull(peer, "peer");
        Objects.requireNonNull(leaseTimings, "terms");
        Checks.positive("drainMillis", drainMillis);
        Objects.requireNonNull(random, "random");
    }
}
