package org.verbenamast.core.lease;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.verbenamast.core.model.MemberId;

/**
 * The data of a take-over. All times are by this node's monotonic clock, in nanoseconds.
 *
 * @param holder the incarnation to end
 * @param version the version of its row that was last read
 * @param leasePeers the lease peers in that row
 * @param readAt when that row was read
 * @param expiryByPeer when the last lease that each member granted the holder expires, for members that grant no more
 * @param controller the take-over controller
 */
public record TakeoverData(
        MemberId holder,
        long version,
        List<MemberId> leasePeers,
        long readAt,
        Map<MemberId, Long> expiryByPeer,
        TakeoverController controller) {

    /** The expiry, in nanoseconds, of a lease that may still be granted again. */
    public static final long NEVER = Long.MAX_VALUE;

    /** Checks that the references are not null and copies the collections. */
    public TakeoverData {
        Objects.requireNonNull(holder, "holder");
        leasePeers = List.copyOf(leasePeers);
        expiryByPeer = Map.copyOf(expiryByPeer);
        Objects.requireNonNull(controller, "controller");
    }

    /**
     * Returns the time from which the holder has no lease from a majority, provided that its row has not changed.
     *
     * @return the time, or {@link #NEVER} if a majority may still grant leases
     */
    public long lapsedFrom() {
        if (leasePeers.isEmpty()) {
            return readAt + ClockDrift.safeWaitNanos(controller.timings().leaseDuration());
        }
        return Quorum.expiredFrom(leasePeers, peer -> expiryByPeer.getOrDefault(peer, NEVER));
    }

    TakeoverData withRow(long nextVersion, List<MemberId> peers, long now) {
        return new TakeoverData(holder, nextVersion, peers, now, expiryByPeer, controller);
    }

    TakeoverData withSeal(MemberId peer, long expiry) {
        Map<MemberId, Long> next = new HashMap<>(expiryByPeer);
        next.merge(peer, expiry, Math::min);
        return new TakeoverData(holder, version, leasePeers, readAt, next, controller);
    }
}
