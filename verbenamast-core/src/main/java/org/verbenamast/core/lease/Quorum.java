package org.verbenamast.core.lease;

import java.util.List;
import java.util.function.ToLongFunction;

import org.verbenamast.core.model.MemberId;

/** Computes when a majority of a list of lease peers holds or has expired. */
public final class Quorum {

    private Quorum() {}

    /**
     * Returns how many lease peers form a majority.
     *
     * @param peers the lease peers
     * @return more than half of them; 0 for an empty list
     */
    public static int majorityOf(List<MemberId> peers) {
        return peers.isEmpty() ? 0 : peers.size() / 2 + 1;
    }

    /**
     * Returns until when the leases of at least a majority are in force.
     *
     * @param peers the lease peers; at least one
     * @param until returns when the lease that a peer granted expires
     * @return the time, by the same clock as {@code until}
     */
    public static long heldUntil(List<MemberId> peers, ToLongFunction<MemberId> until) {
        long[] times = peers.stream().mapToLong(until).sorted().toArray();
        return times[times.length - majorityOf(peers)];
    }

    /**
     * Returns the time from which the leases of at least a majority have expired.
     *
     * @param peers the lease peers; at least one
     * @param from returns when the lease that a peer granted expires
     * @return the time, by the same clock as {@code from}
     */
    public static long expiredFrom(List<MemberId> peers, ToLongFunction<MemberId> from) {
        long[] times = peers.stream().mapToLong(from).sorted().toArray();
        return times[majorityOf(peers) - 1];
    }
}
