package org.verbenamast.core.lease;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.model.MemberId;

/**
 * What an event tells a take-over.
 *
 * @param peer the lease peer that answered, or {@link MemberId#NONE}
 * @param overFrom from when on nothing that the lease peer promised holds, by the own clock in nanoseconds
 * @param version the version of the holder's row, or 0
 * @param leasePeers the lease peers in that row
 */
public record TakeoverInput(MemberId peer, long overFrom, long version, List<MemberId> leasePeers) {

    /** The input of events that tell nothing more. */
    public static final TakeoverInput NONE = new TakeoverInput(MemberId.NONE, 0, 0, List.of());

    /** Checks the parts and copies the list. */
    public TakeoverInput {
        Objects.requireNonNull(peer, "peer");
        leasePeers = List.copyOf(leasePeers);
    }

    static TakeoverInput sealed(MemberId peer, long overFrom) {
        return new TakeoverInput(peer, overFrom, 0, List.of());
    }

    static TakeoverInput row(long version, List<MemberId> leasePeers) {
        return new TakeoverInput(MemberId.NONE, 0, version, leasePeers);
    }
}
