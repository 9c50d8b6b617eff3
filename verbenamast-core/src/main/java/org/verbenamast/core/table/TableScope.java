package org.verbenamast.core.table;

import java.util.Comparator;
import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.Zone;

/**
 * What a row of the table is about: a service, its part in an availability zone, or one of its backend servers.
 *
 * @param service the service
 * @param zone the availability zone, where the row is about one
 * @param server the backend server, where the row is about one
 */
public record TableScope(ServiceName service, Optional<Zone> zone, Optional<ServerName> server)
        implements Comparable<TableScope> {

    private static final int PARTS = 3;
    private static final Comparator<TableScope> ORDER = Comparator.comparing(TableScope::toString);

    /** Checks that the parts are given. */
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
     * Returns the scope of a backend server, wherever it is.
     *
     * @param service the service
     * @param server the backend server
     * @return the scope
     */
    public static TableScope of(ServiceName service, ServerName server) {
        return new TableScope(service, Optional.empty(), Optional.of(server));
    }

    /**
     * Reads the form that {@link #toString()} writes.
     *
     * @param text a text such as {@code stock/jkt/stock-1}, in which the last two parts may be empty
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
     * Returns the scope without its availability zone where it names a backend server, which has one zone only.
     *
     * @return the scope under which limits and weights are looked up
     */
    public TableScope lookup() {
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
