package org.verbenamast.core.table;

import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.Zone;

/** The limits of the table in force. Each bounds its own scope; a request has to keep to all scopes that hold it. */
public final class Limits {

    private final TableIndex index;

    Limits(TableIndex index) {
        this.index = index;
    }

    /**
     * What a scope may bear.
     *
     * @param concurrency the most requests that may run at once
     * @param ratePerSecond the most requests that may start in a second
     */
    public record Bounds(Limit concurrency, Limit ratePerSecond) {

        /** No bounds. */
        public static final Bounds NONE = new Bounds(Limit.UNLIMITED, Limit.UNLIMITED);
    }

    /**
     * Returns the bounds of a whole service.
     *
     * @param service the service
     * @return the bounds
     */
    public Bounds of(ServiceName service) {
        return of(TableScope.of(service));
    }

    /**
     * Returns the bounds of a service in an availability zone.
     *
     * @param service the service
     * @param zone the availability zone
     * @return the bounds
     */
    public Bounds of(ServiceName service, Zone zone) {
        return of(TableScope.of(service, zone));
    }

    /**
     * Returns the bounds of a member's backend server.
     *
     * @param member the member
     * @return the bounds
     */
    public Bounds of(MemberRow member) {
        return of(member.service(), new ServerName(member.id().node()));
    }

    /**
     * Returns the bounds of a backend server.
     *
     * @param service the service
     * @param server the backend server
     * @return the bounds
     */
    public Bounds of(ServiceName service, ServerName server) {
        return of(TableScope.of(service, server));
    }

    private Bounds of(TableScope scope) {
        TableEntry entry = index.find(scope);
        return entry == null ? Bounds.NONE : new Bounds(entry.concurrency(), entry.ratePerSecond());
    }
}
