package org.verbenamast.core.manifest;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.check.Checks;

/**
 * One version of the manifest.
 *
 * @param version the version; it only grows
 * @param routes the routes
 * @param services the services
 * @param limits the limits of requests
 */
public record Manifest(long version, List<Route> routes, List<ServiceRules> services, RequestLimits limits) {

    /** Checks the fields and copies the lists. */
    public Manifest {
        Checks.notNegative("version", version);
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        Objects.requireNonNull(limits, "limits");
    }

    /**
     * Finds what the manifest says of a service.
     *
     * @param name the service's name
     * @return the rules, or nothing where the manifest does not name the service
     */
    public Optional<ServiceRules> service(String name) {
        return services.stream().filter(rules -> rules.name().equals(name)).findFirst();
    }

    /**
     * Makes the table that finds routes quickly.
     *
     * @return the table
     */
    public RouteTable buildRouteTable() {
        Map<String, Map<String, Route>> byHost = new HashMap<>();
        for (Route route : routes) {
            byHost.computeIfAbsent(route.host(), host -> new HashMap<>()).put(route.prefix(), route);
        }
        return new RouteTable(byHost);
    }
}
