package org.verbenamast.core.manifest;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The newest version of the manifest that a node knows. It never decreases within an incarnation of the node. */
public final class ActiveManifest {

    private Optional<Manifest> manifest = Optional.empty();
    private Optional<RouteTable> routes = Optional.empty();
    private TenantIndex tenants = TenantIndex.NONE;
    private final Map<String, ServiceRules> services = new HashMap<>();

    /**
     * Puts a version into force unless it is no newer than the current one.
     *
     * @param next the manifest
     * @return whether the version came into force
     */
    public boolean accept(Manifest next) {
        if (manifest.filter(known -> known.version() >= next.version()).isPresent()) {
            return false;
        }
        manifest = Optional.of(next);
        routes = Optional.of(next.buildRouteTable());
        tenants = new TenantIndex(next.tenants());
        services.clear();
        next.services().forEach(rules -> services.putIfAbsent(rules.name(), rules));
        return true;
    }

    /**
     * Returns whether a version is known. Without one, requests can't be routed.
     *
     * @return whether a version is known
     */
    public boolean isKnown() {
        return manifest.isPresent();
    }

    /**
     * Returns the version in force.
     *
     * @return the version; 0 before one is known
     */
    public long version() {
        return manifest.map(Manifest::version).orElse(0L);
    }

    /**
     * Returns the limits of requests.
     *
     * @return the limits; {@link RequestLimits#DEFAULT} before a version is known
     */
    public RequestLimits limits() {
        return manifest.map(Manifest::limits).orElse(RequestLimits.DEFAULT);
    }

    /**
     * Returns the rules of a service.
     *
     * @param name the service's name
     * @return the rules, or nothing where the manifest does not list the service
     */
    public Optional<ServiceRules> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns the routes of the version in force.
     *
     * @return the routes, or nothing before a version is known
     */
    public Optional<RouteTable> routes() {
        return routes;
    }

    /**
     * Returns the tenants of the version in force.
     *
     * @return the tenants; none before a version is known
     */
    public TenantIndex tenants() {
        return tenants;
    }

    /**
     * Returns how many entries of the version in force can't be read.
     *
     * @return the number; 0 before a version is known
     */
    public int gaps() {
        return manifest.map(known -> known.gaps().size()).orElse(0);
    }
}
