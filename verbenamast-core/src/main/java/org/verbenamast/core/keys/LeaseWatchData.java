package org.verbenamast.core.keys;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.rows.StoreEffect;
import org.verbenamast.core.rows.StorePurpose;

/**
 * The data of a key lease that is watched until it has certainly expired.
 *
 * @param incarnation the server incarnation that keys were granted to
 * @param leaseMillis the duration of a lease, in milliseconds
 * @param ended whether the server is known to have ended
 * @param version the version of the row of the lease; 0 if it is not known or the row does not exist
 * @param callId the number of the calls to the store that read the row
 */
public record LeaseWatchData(
        ServerIncarnation incarnation, long leaseMillis, boolean ended, long version, long callId) {

    /** Checks the server incarnation. */
    public LeaseWatchData {
        Objects.requireNonNull(incarnation, "incarnation");
    }

    LeaseWatchData withVersion(long newVersion) {
        return new LeaseWatchData(incarnation, leaseMillis, ended, newVersion, callId);
    }

    LeaseWatchData withEnd() {
        return new LeaseWatchData(incarnation, leaseMillis, true, version, callId);
    }

    StoreEffect readEffect() {
        return new StoreEffect.Read(StorePurpose.LEASE_WATCH, callId, List.of(KeyLeaseData.leaseRow(incarnation)));
    }
}
