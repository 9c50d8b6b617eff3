package org.verbenamast.core.table;

import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.Zone;

/**
 * The weights of the table in force. The weight of a backend server is the product of its own weight, of its service's
 * weight in its availability zone, and of its service's weight.
 */
public final class Weights {

    /** The weight of a backend server about which the table says nothing. */
    public static final int USUAL = 10_000;

    private final TableIndex index;

    Weights(TableIndex index) {
        this.index = index;
    }

    /**
     * Returns the weight of a member's backend server.
     *
     * @param member the member
     * @return the weight, in ten-thousandths of the usual one; 0 where it is to be given no work
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
     * @return the weight, in ten-thousandths of the usual one; 0 where it is to be given no work
     */
    public int of(ServiceName service, Zone zone, ServerName server) {
        long product = percent(TableScope.of(service))
                * percent(TableScope.of(service, zone))
                * percent(TableScope.of(service, server));
        return product == 0 ? 0 : (int) Math.max(1, product / TableEntry.USUAL_WEIGHT);
    }

    private long percent(TableScope scope) {
        TableEntry entry = index.find(scope);
        return entry == null ? TableEntry.USUAL_WEIGHT : entry.weight();
    }
}
