package org.verbenamast.core.manifest;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Finds the route of a request: the one with the longest matching prefix among those of the request's host. Immutable.
 */
public final class RouteTable {

    private final Map<String, Map<String, Route>> byHost;
    private final Map<String, Set<String>> unreadable;

    RouteTable(Map<String, Map<String, Route>> byHost, Map<String, Set<String>> unreadable) {
        this.byHost = Objects.requireNonNull(byHost, "byHost");
        this.unreadable = Objects.requireNonNull(unreadable, "unreadable");
    }

    /**
     * Returns whether the route of a request is one that can't be read, so that no other one may serve it.
     *
     * @param host the request's host name, with or without a port
     * @param target the request's path, with or without a query
     * @return whether the longest matching prefix is that of an unreadable route
     */
    public boolean isUnreadable(String host, String target) {
        Set<String> prefixes = unreadable.getOrDefault(withoutPort(host), Set.of());
        if (prefixes.isEmpty()) {
            return false;
        }
        String path = withoutQuery(target);
        String known = find(host, target).map(Route::prefix).orElse("");
        return prefixes.stream().anyMatch(prefix -> prefix.length() > known.length() && path.startsWith(prefix));
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
        String path = withoutQuery(target);
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route route = prefixes.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String withoutQuery(String target) {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    private static String withoutPort(String host) {
        int colon = host.indexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }
}
