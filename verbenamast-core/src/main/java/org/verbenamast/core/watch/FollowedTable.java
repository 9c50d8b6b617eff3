package org.verbenamast.core.watch;

import org.verbenamast.core.node.Timing;

/** The tables that every node follows. */
public enum FollowedTable {
    /**
     * What operators write: the manifest and the availability zones that are out. Where no node has had an answer for
     * the time of silence, a call may have been swallowed by the network; it is made again, after the longest pause,
     * within the 3 s from which the platform counts a node as in touch. Waits differ from call to call, so that at any
     * time some node has just had an answer; the longest keeps within the store's history of 20 s.
     */
    OPERATORS(500, 12_000, 0, 2_200),
    /**
     * What nodes tell each other: members and owners of keys. They tell it directly as well, and a node that misses new
     * owners learns so from the next request, so that following the table only finds what nobody told.
     */
    SHARED(10_000, 10_000, 5_000, 10_500);

    private final long shortestWaitMillis;
    private final long longestWaitMillis;
    private final long pauseMillis;
    private final long silenceMillis;

    FollowedTable(long shortestWaitMillis, long longestWaitMillis, long pauseMillis, long silenceMillis) {
        this.shortestWaitMillis = shortestWaitMillis;
        this.longestWaitMillis = longestWaitMillis;
        this.pauseMillis = pauseMillis;
        this.silenceMillis = silenceMillis;
    }

    /** Returns for how long a call may wait while no node hears from the store, in nanoseconds. */
    long silenceNanos() {
        return Timing.millisToNanos(silenceMillis);
    }

    /** Returns how long a call waits for a change, in milliseconds; drawn evenly by a number from 0 to 1. */
    long waitMillis(double drawn) {
        return shortestWaitMillis + (long) (drawn * (longestWaitMillis - shortestWaitMillis));
    }

    /**
     * Returns how long to wait between a change and the next call, so that changes that come together cost one call.
     *
     * @return the time, in milliseconds
     */
    public long pauseMillis() {
        return pauseMillis;
    }
}
