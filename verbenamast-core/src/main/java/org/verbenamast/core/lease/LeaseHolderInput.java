package org.verbenamast.core.lease;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.model.MemberId;

/**
 * What an event tells this node's own lease.
 *
 * @param peer the lease peer that vouched, or {@link MemberId#NONE}
 * @param sentAt when the request that was answered was sent, by the own clock in nanoseconds
 * @param version the version of the row that was learnt, or 0
 * @param leasePeers the lease peers in that row
 */
public record LeaseHolderInput(MemberId peer, long sentAt, long version, List<MemberId> leasePeers) {

    /** The input of events that tell nothing more. */
    public static final LeaseHolderInput NONE = new LeaseHolderInput(MemberId.NONE, 0, 0, List.of());

    /** Checks the parts and copies the list. */
    public LeaseHolderInput {
        Objects.requireNonNull(peer, "peer");
        leasePeers = List.copyOf(leasePeers);
    }

    static LeaseHolderInput vouched(MemberId peer, long sentAt) {
        return new LeaseHolderInput(peer, sentAt, 0, List.of());
    }

    static LeaseHolderInput shown(long sentAt) {
        return new LeaseHolderInput(MemberId.NONE, sentAt, 0, List.of());
    }

    static LeaseHolderInput row(long version, List<MemberId> leasePeers) {
        return new LeaseHolderInput(MemberId.NONE, 0, version, leasePeers);
    }
}
