package org.verbenamast.core.manifest;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.verbenamast.core.check.Checks;

/**
 * A version of the manifest, which operators write.
 *
 * @param version the version; a later manifest has a higher one
 * @param routes the routes
 * @param services the rules of the services
 * @param limits the limits of requests
 * @param tenants the tenants; where there are any, a caller needs the key of one unless the route is public
 * @param gaps the entries that can't be read
 */
public record Manifest(
        long version,
        List<Route> routes,
        List<ServiceRules> services,
        RequestLimits limits,
        List<Tenant> tenants,
        List<ManifestGap> gaps) {

    /** Checks the version and the limits and copies the lists. */
    public Manifest {
        Checks.notNegative("version", version);
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        Objects.requireNonNull(limits, "limits");
        tenants = List.copyOf(tenants);
        gaps = List.copyOf(gaps);
    }

    /**
     * Creates a version whose entries can all be read.
     *
     * @param version the version
     * @param routes the routes
     * @param services the rules of the services
     * @param limits the limits of requests
     * @param tenants the tenants
     */
    public Manifest(
            long version, List<Route> routes, List<ServiceRules> services, RequestLimits limits, List<Tenant> tenants) {
        this(version, routes, services, limits, tenants, List.of());
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
        Map<String, Set<String>> unreadable = new HashMap<>();
        gaps.stream().filter(ManifestGap::isRoute).forEach(gap -> unreadable
                .computeIfAbsent(gap.host(), host -> new HashSet<>())
                .add(gap.prefix()));
        return new RouteTable(byHost, unreadable);
    }
}
