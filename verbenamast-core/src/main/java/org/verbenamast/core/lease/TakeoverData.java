package org.verbenamast.core.lease;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.verbenamast.core.model.MemberId;

/**
 * The data of a take-over. All times are by the own monotonic clock, in nanoseconds.
 *
 * @param holder the incarnation that is to be ended
 * @param version the version of its row that was read last
 * @param leasePeers the lease peers in that row
 * @param readAt when that row was read
 * @param overFrom from when on nothing holds that a member had promised the holder, for those that never promise again
 * @param desk carries out the steps
 */
public record TakeoverData(
        MemberId holder,
        long version,
        List<MemberId> leasePeers,
        long readAt,
        Map<MemberId, Long> overFrom,
        TakeoverController desk) {

    /** Stands for a promise that may be made again, in nanoseconds. */
    public static final long NEVER = Long.MAX_VALUE;

    /** Checks the parts and copies the collections. */
    public TakeoverData {
        Objects.requireNonNull(holder, "holder");
        leasePeers = List.copyOf(leasePeers);
        overFrom = Map.copyOf(overFrom);
        Objects.requireNonNull(desk, "desk");
    }

    /**
     * Returns from when on no majority can vouch for the holder, whose row must not have changed until then.
     *
     * @return the time, or {@link #NEVER}
     */
    public long lapsedFrom() {
        if (leasePeers.isEmpty()) {
            return readAt + ClockDrift.lengthened(desk.terms().promise());
        }
        return Quorum.overFrom(leasePeers, peer -> overFrom.getOrDefault(peer, NEVER));
    }

    TakeoverData withRow(long nextVersion, List<MemberId> peers, long now) {
        return new TakeoverData(holder, nextVersion, peers, now, overFrom, desk);
    }

    TakeoverData withSeal(MemberId peer, long from) {
        Map<MemberId, Long> next = new HashMap<>(overFrom);
        next.merge(peer, from, Math::min);
        return new TakeoverData(holder, version, leasePeers, readAt, next, desk);
    }
}
