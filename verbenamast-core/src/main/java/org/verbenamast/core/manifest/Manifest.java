package org.verbenamast.core.manifest;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.check.Checks;

/**
 * A version of the manifest, which operators write.
 *
 * @param version the version; a later manifest has a higher one
 * @param routes the routes
 * @param services the rules of the services
 * @param limits the limits of requests
 * @param tenants the tenants; where there are any, a caller needs the key of one unless the route is public
 */
public record Manifest(
        long version, List<Route> routes, List<ServiceRules> services, RequestLimits limits, List<Tenant> tenants) {

    /** Checks the version and the limits and copies the lists. */
    public Manifest {
        Checks.notNegative("version", version);
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        Objects.requireNonNull(limits, "limits");
        tenants = List.copyOf(tenants);
    }

    /**
     * Returns the rules of a service.
     *
     * @param name the service's name
     * @return the rules, or nothing where the manifest does not list the service
     */
    public Optional<ServiceRules> service(String name) {
        return services.stream().filter(rules -> rules.name().equals(name)).findFirst();
    }

    /**
     * Creates an index of the routes by host and prefix.
     *
     * @return the index
     */
    public RouteTable buildRouteTable() {
        Map<String, Map<String, Route>> byHost = new HashMap<>();
        for (Route route : routes) {
            byHost.computeIfAbsent(route.host(), host -> new HashMap<>()).put(route.prefix(), route);
        }
        return new RouteTable(byHost);
    }
}
