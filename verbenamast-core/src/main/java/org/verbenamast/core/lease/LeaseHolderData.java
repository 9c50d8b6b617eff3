package org.verbenamast.core.lease;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.verbenamast.core.model.MemberId;

/**
 * The data of this node's own lease. All times are by the own monotonic clock, in nanoseconds.
 *
 * @param self this incarnation
 * @param lists the lists of lease peers that may be in force
 * @param vouched when the last request was sent that each lease peer granted
 * @param writtenAt when the last write of the row was sent that took effect
 * @param shownAt when the last request to the table service was sent whose answer showed the row as not ended
 * @param countedFrom from when on requests count for serving: those sent before a pause don't
 * @param nextAsk when the lease peers are asked next
 * @param lapsedAt when the lease lapsed last
 * @param desk sends the requests
 */
public record LeaseHolderData(
        MemberId self,
        PeerLists lists,
        Map<MemberId, Long> vouched,
        long writtenAt,
        long shownAt,
        long countedFrom,
        long nextAsk,
        long lapsedAt,
        LeaseHolderController desk) {

    /** Stands for a time before all others, in nanoseconds. */
    public static final long NEVER = Long.MIN_VALUE / 2;

    /** Checks the parts and copies the map. */
    public LeaseHolderData {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(lists, "lists");
        vouched = Map.copyOf(vouched);
        Objects.requireNonNull(desk, "desk");
    }

    static LeaseHolderData begun(MemberId self, LeaseHolderController desk, long now) {
        PeerLists none = new PeerLists(0, List.of(), List.of());
        return new LeaseHolderData(self, none, Map.of(), NEVER, NEVER, now, now, now, desk);
    }

    /**
     * Returns until when the node may serve.
     *
     * @return the time at which the first majority, or what stands in for it, runs out
     */
    public long heldUntil() {
        return heldUntil(countedFrom);
    }

    /**
     * Returns until when the node may vouch for others: for a while after its own lease lapsed, whether or not it was
     * paused, or after the table service showed that its incarnation has not ended.
     *
     * @return the time
     */
    public long standingUntil() {
        return Math.max(heldUntil(NEVER), shownAt) + desk.terms().standing();
    }

    private long heldUntil(long from) {
        long until = Long.MAX_VALUE;
        for (List<MemberId> list : lists.inForce()) {
            until = Math.min(until, heldUntil(list, from));
        }
        return until;
    }

    private long heldUntil(List<MemberId> list, long from) {
        if (list.isEmpty()) {
            return counted(writtenAt, from);
        }
        return Quorum.holdsUntil(
                list, peer -> peer.equals(self) ? Long.MAX_VALUE : counted(vouched.getOrDefault(peer, NEVER), from));
    }

    private long counted(long sentAt, long from) {
        return sentAt < from ? NEVER : sentAt + desk.terms().held();
    }

    /**
     * Tells whether a lease peer vouches at present.
     *
     * @param peer the lease peer
     * @param now the time
     * @return whether what it vouched for counts and has not run out
     */
    public boolean vouchedBy(MemberId peer, long now) {
        return peer.equals(self) || counted(vouched.getOrDefault(peer, NEVER), countedFrom) > now;
    }

    LeaseHolderData withVouch(MemberId peer, long sentAt) {
        Map<MemberId, Long> next = new HashMap<>(vouched);
        next.merge(peer, sentAt, Math::max);
        return new LeaseHolderData(self, lists, next, writtenAt, shownAt, countedFrom, nextAsk, lapsedAt, desk);
    }

    LeaseHolderData withLists(PeerLists next) {
        return new LeaseHolderData(self, next, vouched, writtenAt, shownAt, countedFrom, nextAsk, lapsedAt, desk);
    }

    LeaseHolderData withWritten(long sentAt) {
        long latest = Math.max(writtenAt, sentAt);
        return new LeaseHolderData(self, lists, vouched, latest, shownAt, countedFrom, nextAsk, lapsedAt, desk);
    }

    LeaseHolderData withShown(long sentAt) {
        long latest = Math.max(shownAt, sentAt);
        return new LeaseHolderData(self, lists, vouched, writtenAt, latest, countedFrom, nextAsk, lapsedAt, desk);
    }

    LeaseHolderData withCountedFrom(long from) {
        return new LeaseHolderData(self, lists, vouched, writtenAt, shownAt, from, nextAsk, lapsedAt, desk);
    }

    LeaseHolderData withNextAsk(long at) {
        return new LeaseHolderData(self, lists, vouched, writtenAt, shownAt, countedFrom, at, lapsedAt, desk);
    }

    LeaseHolderData withLapse(long at) {
        return new LeaseHolderData(self, lists, vouched, writtenAt, shownAt, countedFrom, nextAsk, at, desk);
    }
}
