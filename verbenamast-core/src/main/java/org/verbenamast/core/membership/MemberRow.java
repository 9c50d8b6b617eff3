package org.verbenamast.core.membership;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.store.RowKey;
import org.verbenamast.core.store.RowValue;
import org.verbenamast.core.store.TableName;

/**
 * The row of one incarnation of a node, which is a member of the fleet.
 *
 * @param id the member
 * @param service the service of the backend server beside it
 * @param zone the availability zone
 * @param peer the address at which the member listens for other members
 * @param status the member's status
 * @param leasePeers the members of which a majority grants this member its lease
 * @param serverStart the start id that the backend server announced
 * @param slots how many requests the backend server can run at once
 * @param operation the id of the operation that wrote the row
 */
public record MemberRow(
        MemberId id,
        ServiceName service,
        Zone zone,
        Address peer,
        MemberStatus status,
        List<MemberId> leasePeers,
        String serverStart,
        int slots,
        String operation)
        implements RowValue {

    /** Rejects nulls and a slot count below 1, and copies the list. */
    public MemberRow {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(peer, "peer");
        Objects.requireNonNull(status, "status");
        leasePeers = List.copyOf(leasePeers);
        Objects.requireNonNull(serverStart, "serverStart");
        Checks.positive("slots", slots);
        Objects.requireNonNull(operation, "operation");
    }

    /**
     * Returns the key of a member's row.
     *
     * @param id the member
     * @return the key
     */
    public static RowKey keyOf(MemberId id) {
        return new RowKey(TableName.MEMBERS, id.toString());
    }

    /**
     * Returns this row with another status.
     *
     * @param next the status
     * @param writer the id of the operation that writes the row
     * @return the changed row
     */
    public MemberRow withStatus(MemberStatus next, String writer) {
        return new MemberRow(id, service, zone, peer, next, leasePeers, serverStart, slots, writer);
    }

    /**
     * Returns this row with other lease peers.
     *
     * @param next the lease peers
     * @param writer the id of the operation that writes the row
     * @return the changed row
     */
    public MemberRow withLeasePeers(List<MemberId> next, String writer) {
        return new MemberRow(id, service, zone, peer, status, next, serverStart, slots, writer);
    }
}
