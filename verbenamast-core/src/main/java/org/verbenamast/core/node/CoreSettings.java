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
 * What the decisions of a node need to know from its settings.
 *
 * @param self this run of the node
 * @param service the service of the backend server beside the node
 * @param zone the node's availability zone
 * @param peer where other members reach this node
 * @param services all services of the fleet
 * @param seeds where to ask for rows while the table service is down
 * @param timing the durations of the protocols
 * @param queueLimit how many requests may wait for the backend server
 * @param zones the availability zones of the fleet, besides those of its members
 * @param operators who may give commands
 * @param seed the seed of the node's random choices
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

    /** Checks the parts and copies the lists. */
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
     * Makes settings that name no operators and no availability zones.
     *
     * @param self this run of the node
     * @param service the service of the backend server beside the node
     * @param zone the node's availability zone
     * @param peer where other members reach this node
     * @param services all services of the fleet
     * @param seeds where to ask for rows while the table service is down
     * @param timing the durations of the protocols
     * @param queueLimit how many requests may wait for the backend server
     * @param seed the seed of the node's random choices
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
     * Finds a service.
     *
     * @param name the service's name
     * @return the service's settings, if it exists
     */
    public Optional<ServiceSettings> serviceOf(ServiceName name) {
        return services.stream().filter(s -> s.name().equals(name)).findFirst();
    }
}
