package org.verbenamast.core.manifest;

import java.util.Optional;

/** The newest version of the manifest that a node knows. Within a life it only goes forward. */
public final class ActiveManifest {

    private Optional<Manifest> manifest = Optional.empty();
    private Optional<RouteTable> routes = Optional.empty();

    /**
     * Takes a version; one that is not newer changes nothing.
     *
     * @param next the manifest
     * @return whether it came into force
     */
    public boolean accept(Manifest next) {
        if (manifest.filter(known -> known.version() >= next.version()).isPresent()) {
            return false;
        }
        manifest = Optional.of(next);
        routes = Optional.of(next.buildRouteTable());
        return true;
    }

    /**
     * Tells whether any version is known.
     *
     * @return whether requests can be routed
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
     * @return the limits; the usual ones before a version is known
     */
    public RequestLimits limits() {
        return manifest.map(Manifest::limits).orElse(RequestLimits.DEFAULT);
    }

    /**
     * Finds what the manifest says of a service.
     *
     * @param name the service's name
     * @return the rules, or nothing where the service is not known
     */
    public Optional<ServiceRules> service(String name) {
        return manifest.flatMap(known -> known.service(name));
    }

    /**
     * Returns the routes.
     *
     * @return the table, or nothing before a version is known
     */
    public Optional<RouteTable> routes() {
        return routes;
    }
}
