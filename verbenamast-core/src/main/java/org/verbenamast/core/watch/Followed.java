package org.verbenamast.core.watch;

import org.verbenamast.core.node.Timing;

/** The tables that every node follows. */
public enum Followed {
    /**
     * What operators write: the manifest and the availability zones that are out. Where no node has had an answer for
     * the time of silence, a call may have been swallowed by the network; it is made again, after the longest pause,
     * within the 3 s from which the platform counts a node as in touch.
     */
    OPERATORS(8_000, 0, 2_200),
    /**
     * What nodes tell each other: members and owners of keys. They tell it directly as well, and a node that misses a
     * row learns so from the next request, so that following the table only finds what nobody told.
     */
    SHARED(10_000, 10_000, 10_500);

    /** Time beyond its wait after which a call counts as lost, in milliseconds; many times that of a usual call. */
    private static final long LOST_AFTER_MILLIS = 500;

    private final long waitMillis;
    private final long pauseMillis;
    private final long silenceMillis;

    Followed(long waitMillis, long pauseMillis, long silenceMillis) {
        this.waitMillis = waitMillis;
        this.pauseMillis = pauseMillis;
        this.silenceMillis = silenceMillis;
    }

    /** Returns for how long a call may wait while no node hears from the store, in nanoseconds. */
    long silenceNanos() {
        return Timing.nanos(silenceMillis);
    }

    /**
     * Returns how long one call waits for a change.
     *
     * @return the time, in milliseconds
     */
    public long waitMillis() {
        return waitMillis;
    }

    /**
     * Returns after which time a call without an answer counts as lost.
     *
     * @return the time, in milliseconds
     */
    public long lostAfterMillis() {
        return waitMillis + LOST_AFTER_MILLIS;
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
