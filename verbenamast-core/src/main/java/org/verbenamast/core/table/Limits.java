package org.verbenamast.core.table;

import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.Zone;

/**
 * The limits of the table in force. Each limit applies to its own scope; a request is subject to the limits of all
 * scopes that contain it.
 */
public final class Limits {

    private final TableIndex index;

    Limits(TableIndex index) {
        this.index = index;
    }

    /**
     * The limits of one scope.
     *
     * @param concurrency the maximum number of concurrent requests
     * @param ratePerSecond the maximum number of requests started per second
     */
    public record Bounds(Limit concurrency, Limit ratePerSecond) {

        /** No limits. */
        public static final Bounds NONE = new Bounds(Limit.UNLIMITED, Limit.UNLIMITED);
    }

    /**
     * Returns the limits of a whole service.
     *
     * @param service the service
     * @return its limits, or {@link Bounds#NONE} if the table has no row for it
     */
    public Bounds of(ServiceName service) {
        return of(TableScope.of(service));
    }

    /**
     * Returns the limits of a service in an availability zone.
     *
     * @param service the service
     * @param zone the availability zone
     * @return its limits, or {@link Bounds#NONE} if the table has no row for it
     */
    public Bounds of(ServiceName service, Zone zone) {
        return of(TableScope.of(service, zone));
    }

    /**
     * Returns the limits of a member's backend server.
     *
     * @param member the member
     * @return its limits, or {@link Bounds#NONE} if the table has no row for it
     */
    public Bounds of(MemberRow member) {
        return of(member.service(), new ServerName(member.id().node()));
    }

    /**
     * Returns the limits of a backend server.
     *
     * @param service the service
     * @param server the backend server
     * @return its limits, or {@link Bounds#NONE} if the table has no row for it
     */
    public Bounds of(ServiceName service, ServerName server) {
        return of(TableScope.of(service, server));
    }

    private Bounds of(TableScope scope) {
        TableEntry entry = index.find(scope);
        return entry == null ? Bounds.NONE : new Bounds(entry.concurrency(), entry.ratePerSecond());
    }
}
