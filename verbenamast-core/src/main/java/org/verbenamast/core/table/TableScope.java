package org.verbenamast.core.table;

import java.util.Comparator;
import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.Zone;

/**
 * The scope of a row of the table: a service, a service in an availability zone, or one of its backend servers.
 *
 * @param service the service
 * @param zone the availability zone; empty if the scope is not limited to one
 * @param server the backend server; empty if the scope is not limited to one
 */
public record TableScope(ServiceName service, Optional<Zone> zone, Optional<ServerName> server)
        implements Comparable<TableScope> {

    private static final int PARTS = 3;
    private static final Comparator<TableScope> ORDER = Comparator.comparing(TableScope::toString);

    /** Validates the components. */
    public TableScope {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(server, "server");
    }

    /**
     * Returns the scope of a whole service.
     *
     * @param service the service
     * @return the scope
     */
    public static TableScope of(ServiceName service) {
        return new TableScope(service, Optional.empty(), Optional.empty());
    }

    /**
     * Returns the scope of a service in an availability zone.
     *
     * @param service the service
     * @param zone the availability zone
     * @return the scope
     */
    public static TableScope of(ServiceName service, Zone zone) {
        return new TableScope(service, Optional.of(zone), Optional.empty());
    }

    /**
     * Returns the scope of a backend server in any availability zone.
     *
     * @param service the service
     * @param server the backend server
     * @return the scope
     */
    public static TableScope of(ServiceName service, ServerName server) {
        return new TableScope(service, Optional.empty(), Optional.of(server));
    }

    /**
     * Parses the format of {@link #toString()}.
     *
     * @param text a text such as {@code stock/jkt/stock-1}; the zone and the server may be empty
     * @return the scope
     */
    public static TableScope parse(String text) {
        String[] parts = text.split("/", -1);
        if (parts.length != PARTS) {
            throw Checks.malformed("scope", "service/zone/server", text);
        }
        Optional<Zone> zone = parts[1].isEmpty() ? Optional.empty() : Optional.of(new Zone(parts[1]));
        Optional<ServerName> server = parts[2].isEmpty() ? Optional.empty() : Optional.of(new ServerName(parts[2]));
        return new TableScope(new ServiceName(parts[0]), zone, server);
    }

    /**
     * Returns the normalized scope, under which limits and weights are looked up. The scope of a backend server loses
     * its availability zone, because a server is in one zone only.
     *
     * @return the normalized scope; this scope if it names no backend server
     */
    public TableScope normalized() {
        return server.isEmpty() ? this : new TableScope(service, Optional.empty(), server);
    }

    @Override
    public int compareTo(TableScope other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return service + "/" + zone.map(Zone::name).orElse("") + "/"
                + server.map(ServerName::value).orElse("");
    }
}
