package org.verbenamast.core.lease;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.verbenamast.core.model.MemberId;

/**
 * The data of this node's own lease. All times are by this node's monotonic clock, in nanoseconds.
 *
 * @param self this incarnation
 * @param peerLists the lists of lease peers that may be in force
 * @param grantedAt for each lease peer, when the last request that it granted was sent
 * @param writtenAt when the last write of the row that took effect was sent
 * @param confirmedAt when the last request to the table service whose answer showed the row as not ended was sent
 * @param validFrom the earliest sending time of requests that count for serving: those sent before a suspension don't
 * @param nextRequestAt when leases are requested next
 * @param lapsedAt when the lease last lapsed
 * @param controller the lease holder's controller
 */
public record LeaseHolderData(
        MemberId self,
        PeerLists peerLists,
        Map<MemberId, Long> grantedAt,
        long writtenAt,
        long confirmedAt,
        long validFrom,
        long nextRequestAt,
        long lapsedAt,
        LeaseHolderController controller) {

    /** A time before all others, in nanoseconds, to which any duration can be added without overflow. */
    public static final long NEVER = Long.MIN_VALUE / 2;

    /** Checks that the references are not null and copies the map. */
    public LeaseHolderData {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(peerLists, "peerLists");
        grantedAt = Map.copyOf(grantedAt);
        Objects.requireNonNull(controller, "controller");
    }

    static LeaseHolderData initial(MemberId self, LeaseHolderController controller, long now) {
        PeerLists none = new PeerLists(0, List.of(), List.of());
        return new LeaseHolderData(self, none, Map.of(), NEVER, NEVER, now, now, now, controller);
    }

    /**
     * Returns until when the node may serve.
     *
     * @return the earliest expiry over the lists in force: of the majority, or for an empty list, of the last row write
     */
    public long heldUntil() {
        return heldUntil(validFrom);
    }

    /**
     * Returns until when the node may grant leases to others: for a while after its own lease lapsed, whether or not
     * the process was suspended, or after the table service showed that its incarnation has not ended.
     *
     * @return the time, by this node's monotonic clock in nanoseconds
     */
    public long mayGrantUntil() {
        return Math.max(heldUntil(NEVER), confirmedAt) + controller.timings().grantingGrace();
    }

    private long heldUntil(long from) {
        long until = Long.MAX_VALUE;
        for (List<MemberId> list : peerLists.inForce()) {
            until = Math.min(until, heldUntil(list, from));
        }
        return until;
    }

    private long heldUntil(List<MemberId> list, long from) {
        if (list.isEmpty()) {
            return expiryOf(writtenAt, from);
        }
        return Quorum.heldUntil(
                list, peer -> peer.equals(self) ? Long.MAX_VALUE : expiryOf(grantedAt.getOrDefault(peer, NEVER), from));
    }

    private long expiryOf(long sentAt, long from) {
        return sentAt < from ? NEVER : sentAt + controller.timings().heldDuration();
    }

    /**
     * Returns whether a lease peer has granted a lease that is still in force. The node always counts for itself.
     *
     * @param peer the lease peer
     * @param now the monotonic time, in nanoseconds
     * @return whether the lease counts for serving and has not expired
     */
    public boolean isGrantedBy(MemberId peer, long now) {
        return peer.equals(self) || expiryOf(grantedAt.getOrDefault(peer, NEVER), validFrom) > now;
    }

    LeaseHolderData withGrant(MemberId peer, long sentAt) {
        Map<MemberId, Long> next = new HashMap<>(grantedAt);
        next.merge(peer, sentAt, Math::max);
        return new LeaseHolderData(
                self, peerLists, next, writtenAt, confirmedAt, validFrom, nextRequestAt, lapsedAt, controller);
    }

    LeaseHolderData withPeerLists(PeerLists next) {
        return new LeaseHolderData(
                self, next, grantedAt, writtenAt, confirmedAt, validFrom, nextRequestAt, lapsedAt, controller);
    }

    LeaseHolderData withWrite(long sentAt) {
        long latest = Math.max(writtenAt, sentAt);
        return new LeaseHolderData(
                self, peerLists, grantedAt, latest, confirmedAt, validFrom, nextRequestAt, lapsedAt, controller);
    }

    LeaseHolderData withConfirmation(long sentAt) {
        long latest = Math.max(confirmedAt, sentAt);
        return new LeaseHolderData(
                self, peerLists, grantedAt, writtenAt, latest, validFrom, nextRequestAt, lapsedAt, controller);
    }

    LeaseHolderData withValidFrom(long from) {
        return new LeaseHolderData(
                self, peerLists, grantedAt, writtenAt, confirmedAt, from, nextRequestAt, lapsedAt, controller);
    }

    LeaseHolderData withNextRequestAt(long at) {
        return new LeaseHolderData(
                self, peerLists, grantedAt, writtenAt, confirmedAt, validFrom, at, lapsedAt, controller);
    }

    LeaseHolderData withLapse(long at) {
        return new LeaseHolderData(
                self, peerLists, grantedAt, writtenAt, confirmedAt, validFrom, nextRequestAt, at, controller);
    }
}
