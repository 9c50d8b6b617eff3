package org.verbenamast.core.manifest;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Finds the route of a request: the one with the longest matching prefix among those of the request's host. Immutable.
 */
public final class RouteTable {

    private final Map<String, Map<String, Route>> byHost;

    RouteTable(Map<String, Map<String, Route>> byHost) {
        this.byHost = Objects.requireNonNull(byHost, "byHost");
    }

    /**
     * Returns the route of a request.
     *
     * @param host the request's host name, with or without a port
     * @param target the request's path, with or without a query
     * @return the route, or nothing where none matches
     */
    public Optional<Route> find(String host, String target) {
        Map<String, Route> prefixes = byHost.get(withoutPort(host));
        if (prefixes == null) {
            return Optional.empty();
        }
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route route = prefixes.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String withoutPort(String host) {
        int colon = host.indexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }
}
