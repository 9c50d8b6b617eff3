package org.verbenamast.core.keys;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.rows.StoreEffect;
import org.verbenamast.core.rows.StorePurpose;

/**
 * A lease that is watched until it has certainly ended.
 *
 * @param life the run of the server that keys were granted to
 * @param leaseMillis how long a lease lasts, in milliseconds
 * @param ended whether the server is known to have ended
 * @param version the version of the lease's row
 * @param ticket the number of the last call to the store
 */
public record LeaseWatchData(ServerIncarnation life, long leaseMillis, boolean ended, long version, long ticket) {

    /** Checks the run. */
    public LeaseWatchData {
        Objects.requireNonNull(life, "life");
    }

    LeaseWatchData at(long newVersion) {
        return new LeaseWatchData(life, leaseMillis, ended, newVersion, ticket);
    }

    LeaseWatchData known() {
        return new LeaseWatchData(life, leaseMillis, true, version, ticket);
    }

    StoreEffect read() {
        return new StoreEffect.Read(StorePurpose.LEASE_WATCH, ticket, List.of(KeyLeaseData.leaseRow(life)));
    }
}
