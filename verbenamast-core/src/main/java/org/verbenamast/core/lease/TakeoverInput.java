package org.verbenamast.core.lease;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.model.MemberId;

/**
 * The input of an event in the chart of a take-over.
 *
 * @param peer the lease peer that sealed the holder, or {@link MemberId#NONE}
 * @param grantExpiry when the last lease that the peer granted expires, by this node's clock in nanoseconds, or 0
 * @param version the version of the holder's row, or 0
 * @param leasePeers the lease peers in that row
 */
public record TakeoverInput(MemberId peer, long grantExpiry, long version, List<MemberId> leasePeers) {

    /** The input of events that carry no data. */
    public static final TakeoverInput NONE = new TakeoverInput(MemberId.NONE, 0, 0, List.of());

    /** Checks that the peer is not null and copies the list. */
    public TakeoverInput {
        Objects.requireNonNull(peer, "peer");
        leasePeers = List.copyOf(leasePeers);
    }

    static TakeoverInput sealed(MemberId peer, long grantExpiry) {
        return new TakeoverInput(peer, grantExpiry, 0, List.of());
    }

    static TakeoverInput row(long version, List<MemberId> leasePeers) {
        return new TakeoverInput(MemberId.NONE, 0, version, leasePeers);
    }
}
