package org.verbenamast.core.lease;

import java.util.List;
import java.util.function.ToLongFunction;

import org.verbenamast.core.model.MemberId;

/** The majority of a list of lease peers. */
public final class Quorum {

    private Quorum() {}

    /**
     * Returns how many lease peers make a majority.
     *
     * @param peers the lease peers
     * @return more than half of them; 0 for an empty list
     */
    public static int size(List<MemberId> peers) {
        return peers.isEmpty() ? 0 : peers.size() / 2 + 1;
    }

    /**
     * Returns until when at least a majority holds, where each peer holds until a time of its own.
     *
     * @param peers the lease peers; at least one
     * @param until until when each holds
     * @return the time, by the clock of the arguments
     */
    public static long holdsUntil(List<MemberId> peers, ToLongFunction<MemberId> until) {
        long[] times = peers.stream().mapToLong(until).sorted().toArray();
        return times[times.length - size(peers)];
    }

    /**
     * Returns from when on at least a majority is over, where each peer is over from a time of its own.
     *
     * @param peers the lease peers; at least one
     * @param from from when on each is over
     * @return the time, by the clock of the arguments
     */
    public static long overFrom(List<MemberId> peers, ToLongFunction<MemberId> from) {
        long[] times = peers.stream().mapToLong(from).sorted().toArray();
        return times[size(peers) - 1];
    }
}
