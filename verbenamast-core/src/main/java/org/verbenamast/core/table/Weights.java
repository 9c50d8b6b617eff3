package org.verbenamast.core.table;

import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.Zone;

/**
 * The routing weights of the table in force. The weight of a backend server is the product of its own weight, the
 * weight of its service in its availability zone, and the weight of its service.
 */
public final class Weights {

    /** The weight of a backend server to which no row of the table applies. */
    public static final int DEFAULT = 10_000;

    private final TableIndex index;

    Weights(TableIndex index) {
        this.index = index;
    }

    /**
     * Returns the weight of a member's backend server.
     *
     * @param member the member
     * @return the weight, in ten-thousandths of the default weight; 0 if the server gets no work
     */
    public int of(MemberRow member) {
        return of(member.service(), member.zone(), new ServerName(member.id().node()));
    }

    /**
     * Returns the weight of a backend server.
     *
     * @param service the service
     * @param zone the backend server's availability zone
     * @param server the backend server
     * @return the weight, in ten-thousandths of the default weight; 0 if the server gets no work
     */
    public int of(ServiceName service, Zone zone, ServerName server) {
        long product = percent(TableScope.of(service))
                * percent(TableScope.of(service, zone))
                * percent(TableScope.of(service, server));
        return product == 0 ? 0 : (int) Math.max(1, product / TableEntry.DEFAULT_WEIGHT_PERCENT);
    }

    private long percent(TableScope scope) {
        TableEntry entry = index.find(scope);
        return entry == null ? TableEntry.DEFAULT_WEIGHT_PERCENT : entry.weight();
    }
}
