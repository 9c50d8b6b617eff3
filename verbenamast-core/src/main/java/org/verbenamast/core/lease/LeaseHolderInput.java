package org.verbenamast.core.lease;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.model.MemberId;

/**
 * The input of an event in the chart of this node's own lease.
 *
 * @param peer the lease peer that granted a lease, or {@link MemberId#NONE}
 * @param sentAt when the answered request was sent, by this node's clock in nanoseconds, or 0
 * @param version the version of the received row, or 0
 * @param leasePeers the lease peers in that row
 */
public record LeaseHolderInput(MemberId peer, long sentAt, long version, List<MemberId> leasePeers) {

    /** The input of events that carry no data. */
    public static final LeaseHolderInput NONE = new LeaseHolderInput(MemberId.NONE, 0, 0, List.of());

    /** Checks that the peer is not null and copies the list. */
    public LeaseHolderInput {
        Objects.requireNonNull(peer, "peer");
        leasePeers = List.copyOf(leasePeers);
    }

    static LeaseHolderInput granted(MemberId peer, long sentAt) {
        return new LeaseHolderInput(peer, sentAt, 0, List.of());
    }

    static LeaseHolderInput storeAnswered(long sentAt) {
        return new LeaseHolderInput(MemberId.NONE, sentAt, 0, List.of());
    }

    static LeaseHolderInput row(long version, List<MemberId> leasePeers) {
        return new LeaseHolderInput(MemberId.NONE, 0, version, leasePeers);
    }
}
