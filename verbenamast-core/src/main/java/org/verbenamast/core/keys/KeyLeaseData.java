package org.verbenamast.core.keys;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.rows.RowChange;
import org.verbenamast.core.rows.RowRef;
import org.verbenamast.core.rows.RowTable;
import org.verbenamast.core.rows.StoreEffect;
import org.verbenamast.core.rows.StorePurpose;

/**
 * What a node knows of its right to grant keys.
 *
 * @param terms the time-outs
 * @param service the service whose keys are granted
 * @param granter the run of this node
 * @param life the run of the server beside it, or nothing while none is known
 * @param expected the version of the lease's row that the next write expects
 * @param renewal the number of the last write
 * @param ticket the number of the last call to the store
 * @param sentAt when the last write was sent, in nanoseconds
 * @param validUntil when the lease ends, in nanoseconds; 0 where there is none
 */
public record KeyLeaseData(
        KeyLeaseTimings terms,
        String service,
        long granter,
        Optional<ServerIncarnation> life,
        long expected,
        long renewal,
        long ticket,
        long sentAt,
        long validUntil) {

    /** Checks the fields. */
    public KeyLeaseData {
        Objects.requireNonNull(terms, "terms");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(life, "life");
    }

    static KeyLeaseData none(KeyLeaseTimings terms, String service, long granter) {
        return new KeyLeaseData(terms, service, granter, Optional.empty(), 0, 0, 0, 0, 0);
    }

    RowRef leaseRow() {
        return leaseRow(life.orElseThrow());
    }

    static RowRef leaseRow(ServerIncarnation life) {
        return new RowRef(RowTable.LEASES, life.toString());
    }

    KeyLeaseData of(Optional<ServerIncarnation> next) {
        return new KeyLeaseData(terms, service, granter, next, 0, renewal, ticket, 0, 0);
    }

    KeyLeaseData expecting(long version) {
        return new KeyLeaseData(terms, service, granter, life, version, renewal, ticket, sentAt, validUntil);
    }

    KeyLeaseData forgotten() {
        return new KeyLeaseData(terms, service, granter, life, 0, renewal, ticket, 0, 0);
    }

    KeyLeaseData extended(long version) {
        long until = sentAt + Timing.millisToNanos(terms.leaseMillis());
        return new KeyLeaseData(terms, service, granter, life, version, renewal, ticket, sentAt, until);
    }

    KeyLeaseData calling() {
        return new KeyLeaseData(terms, service, granter, life, expected, renewal, ticket + 1, sentAt, validUntil);
    }

    KeyLeaseData writing(long now) {
        return new KeyLeaseData(terms, service, granter, life, expected, renewal + 1, ticket + 1, now, validUntil);
    }

    StoreEffect write() {
        KeyLeaseRow lease = new KeyLeaseRow(life.orElseThrow(), granter, renewal);
        RowChange change = new RowChange(leaseRow(), expected, Optional.of(lease));
        return new StoreEffect.Commit(StorePurpose.TENURE, ticket, List.of(change));
    }

    StoreEffect read(RowRef ref) {
        return new StoreEffect.Read(StorePurpose.TENURE, ticket, List.of(ref));
    }
}
