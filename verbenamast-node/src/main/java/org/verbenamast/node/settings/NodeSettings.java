package org.verbenamast.node.settings;

import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.table.Operators;

/**
 * The settings of a node.
 *
 * @param node the node's name, unique in the fleet
 * @param zone the availability zone
 * @param service the service of the backend server beside the node
 * @param callers where the node listens for callers
 * @param operators where the node listens for operators and for its backend server
 * @param peers where the node listens for other nodes
 * @param advertise where other nodes reach this one
 * @param platform where the platform's table service listens
 * @param seeds other nodes to ask while the table service is down
 * @param services all services of the fleet
 * @param zones the availability zones of the fleet, besides those of its members
 * @param operatorKeys the operators of both organisations
 * @param timing the durations of the protocols
 * @param limits the sizes that the node accepts
 * @param traceRatio the share of requests that are traced without a caller's wish
 */
public record NodeSettings(
        String node,
        Zone zone,
        ServiceName service,
        Address callers,
        Address operators,
        Address peers,
        Address advertise,
        Address platform,
        List<Address> seeds,
        List<ServiceSettings> services,
        Set<Zone> zones,
        Operators operatorKeys,
        Timing timing,
        NodeLimits limits,
        double traceRatio) {

    /** Checks the parts and copies the lists. */
    public NodeSettings {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(callers, "callers");
        Objects.requireNonNull(operators, "operators");
        Objects.requireNonNull(peers, "peers");
        Objects.requireNonNull(advertise, "advertise");
        Objects.requireNonNull(platform, "platform");
        seeds = List.copyOf(seeds);
        services = List.copyOf(services);
        zones = Set.copyOf(zones);
        Objects.requireNonNull(operatorKeys, "operatorKeys");
        Objects.requireNonNull(timing, "timing");
        Objects.requireNonNull(limits, "limits");
    }
}
