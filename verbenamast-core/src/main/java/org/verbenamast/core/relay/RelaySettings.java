package org.verbenamast.core.relay;

import java.util.Objects;
import java.util.function.DoubleSupplier;

import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.check.Checks;
import org.verbenamast.core.keys.KeyControllerSettings;
import org.verbenamast.core.keys.KeyLeaseTimings;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.roster.Heartbeat;
import org.verbenamast.core.roster.Roster;
import org.verbenamast.core.tenant.CapController;

/**
 * The identity of a node and its settings.
 *
 * @param node the node's name
 * @param incarnation the incarnation of the node, a number that no earlier incarnation had
 * @param zone the node's availability zone
 * @param service the service of the server beside it
 * @param server where that server accepts requests
 * @param peer where it accepts connections from other nodes
 * @param leaseTimings the durations of key leases, which limit how long keys may be granted without the store
 * @param drainMillis how long a leaving server may still receive requests, in milliseconds
 * @param limits the limits that decisions keep to
 * @param startedAt the monotonic time when the node started, in nanoseconds
 * @param random returns uniformly distributed numbers from 0 (inclusive) to 1 (exclusive)
 */
public record RelaySettings(
        String node,
        long incarnation,
        Zone zone,
        String service,
        Address server,
        Address peer,
        KeyLeaseTimings leaseTimings,
        long drainMillis,
        RelayLimits limits,
        long startedAt,
        DoubleSupplier random) {

    /** Checks that no field is missing, blank or not positive where it has to be. */
    public RelaySettings {
        Checks.notBlank("node", node);
        Objects.requireNonNull(zone, "zone");
        Checks.notBlank("service", service);
        Objects.requireNonNull(server, "server");
        Objects.requireNonNull(peer, "peer");
        Objects.requireNonNull(leaseTimings, "terms");
        Checks.positive("drainMillis", drainMillis);
        Objects.requireNonNull(limits, "limits");
        Objects.requireNonNull(random, "random");
    }

    /** Returns the settings of the keys of the service beside the node. */
    KeyControllerSettings keyed() {
        return new KeyControllerSettings(node, incarnation, service, leaseTimings, startedAt);
    }

    /** Creates the controller of the tenants' caps. */
    CapController newCapController(Roster roster, TransitionListener listener) {
        return new CapController(node, incarnation, startedAt, roster, limits.caps(), random, listener);
    }

    /** Returns whether a heartbeat is of the server beside the node. */
    boolean isOfServerHere(Heartbeat heartbeat) {
        return heartbeat.service().equals(service) && heartbeat.address().equals(server.toString());
    }
}
