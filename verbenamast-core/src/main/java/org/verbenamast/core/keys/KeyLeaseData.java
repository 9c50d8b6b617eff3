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
 * The data of a key lease, the right of a node to grant keys to the backend server beside it.
 *
 * @param timings the durations of lease and grants
 * @param service the service whose keys are granted
 * @param granter the incarnation of this node
 * @param incarnation the incarnation of the server beside this node; empty while none is known
 * @param expectedVersion the version of the lease row that the next write expects
 * @param renewal the number of the last write, which increases with each renewal
 * @param callId the number of the last call to the store
 * @param sentAt when the last write was sent, as monotonic time in nanoseconds
 * @param validUntil when the lease expires, as monotonic time in nanoseconds; 0 if there is no lease
 */
public record KeyLeaseData(
        KeyLeaseTimings timings,
        String service,
        long granter,
        Optional<ServerIncarnation> incarnation,
        long expectedVersion,
        long renewal,
        long callId,
        long sentAt,
        long validUntil) {

    /** Checks the fields. */
    public KeyLeaseData {
        Objects.requireNonNull(timings, "timings");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(incarnation, "incarnation");
    }

    static KeyLeaseData initial(KeyLeaseTimings timings, String service, long granter) {
        return new KeyLeaseData(timings, service, granter, Optional.empty(), 0, 0, 0, 0, 0);
    }

    RowRef leaseRow() {
        return leaseRow(incarnation.orElseThrow());
    }

    static RowRef leaseRow(ServerIncarnation incarnation) {
        return new RowRef(RowTable.LEASES, incarnation.toString());
    }

    KeyLeaseData withServer(Optional<ServerIncarnation> server) {
        return new KeyLeaseData(timings, service, granter, server, 0, renewal, callId, 0, 0);
    }

    KeyLeaseData withExpectedVersion(long version) {
        return new KeyLeaseData(timings, service, granter, incarnation, version, renewal, callId, sentAt, validUntil);
    }

    KeyLeaseData withoutLease() {
        return new KeyLeaseData(timings, service, granter, incarnation, 0, renewal, callId, 0, 0);
    }

    KeyLeaseData withExtendedLease(long version) {
        long until = sentAt + Timing.millisToNanos(timings.leaseMillis());
        return new KeyLeaseData(timings, service, granter, incarnation, version, renewal, callId, sentAt, until);
    }

    KeyLeaseData withNextCall() {
        return new KeyLeaseData(
                timings, service, granter, incarnation, expectedVersion, renewal, callId + 1, sentAt, validUntil);
    }

    KeyLeaseData withNextWrite(long now) {
        return new KeyLeaseData(
                timings, service, granter, incarnation, expectedVersion, renewal + 1, callId + 1, now, validUntil);
    }

    StoreEffect writeEffect() {
        KeyLeaseRow lease = new KeyLeaseRow(incarnation.orElseThrow(), granter, renewal);
        RowChange change = new RowChange(leaseRow(), expectedVersion, Optional.of(lease));
        return new StoreEffect.Commit(StorePurpose.TENURE, callId, List.of(change));
    }

    StoreEffect readEffect(RowRef ref) {
        return new StoreEffect.Read(StorePurpose.TENURE, callId, List.of(ref));
    }
}
