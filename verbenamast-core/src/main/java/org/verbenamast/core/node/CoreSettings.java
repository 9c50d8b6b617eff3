package org.verbenamast.core.node;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.table.Operators;

/**
 * The settings of a node that its controllers use.
 *
 * @param self this incarnation of the node
 * @param service the service of the backend server beside the node
 * @param zone the node's availability zone
 * @param peer the address at which other members reach this node
 * @param services the settings of all services of the fleet
 * @param seeds the addresses of the nodes that are asked for rows while the table service is down
 * @param timing the durations and intervals of the protocols
 * @param queueLimit the maximum number of requests that wait for the backend server
 * @param zones the availability zones of the fleet, in addition to those of its members
 * @param operators the operators that may submit commands
 * @param seed the seed of the node's random number generators
 */
public record CoreSettings(
        MemberId self,
        ServiceName service,
        Zone zone,
        Address peer,
        List<ServiceSettings> services,
        List<Address> seeds,
        Timing timing,
        int queueLimit,
        Set<Zone> zones,
        Operators operators,
        long seed) {

    /** Checks the components and copies the collections. */
    public CoreSettings {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(peer, "peer");
        services = List.copyOf(services);
        seeds = List.copyOf(seeds);
        Objects.requireNonNull(timing, "timing");
        Checks.notNegative("queueLimit", queueLimit);
        zones = Set.copyOf(zones);
        Objects.requireNonNull(operators, "operators");
    }

    /**
     * Creates settings without operators and without additional availability zones.
     *
     * @param self this incarnation of the node
     * @param service the service of the backend server beside the node
     * @param zone the node's availability zone
     * @param peer the address at which other members reach this node
     * @param services the settings of all services of the fleet
     * @param seeds the addresses of the nodes that are asked for rows while the table service is down
     * @param timing the durations and intervals of the protocols
     * @param queueLimit the maximum number of requests that wait for the backend server
     * @param seed the seed of the node's random number generators
     */
    public CoreSettings(
            MemberId self,
            ServiceName service,
            Zone zone,
            Address peer,
            List<ServiceSettings> services,
            List<Address> seeds,
            Timing timing,
            int queueLimit,
            long seed) {
        this(self, service, zone, peer, services, seeds, timing, queueLimit, Set.of(), Operators.NONE, seed);
    }

    /**
     * Returns the settings of a service.
     *
     * @param name the service's name
     * @return the service's settings; empty if the fleet has no such service
     */
    public Optional<ServiceSettings> serviceOf(ServiceName name) {
        return services.stream().filter(s -> s.name().equals(name)).findFirst();
    }
}
