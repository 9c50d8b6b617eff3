package org.verbenamast.core.watch;

/** The tables that every node follows. */
public enum Followed {
    /**
     * What operators write: the manifest and the availability zones that are out. A call that the network swallowed is
     * made again, after the longest pause, within the 3 s from which the platform counts a node as in touch.
     */
    OPERATORS(1_700, 0),
    /** What nodes tell each other: members and owners of keys. Most of it they tell directly as well. */
    SHARED(10_000, 1_500);

    /** Time beyond its wait after which a call counts as lost, in milliseconds; many times that of a usual call. */
    private static final long LOST_AFTER_MILLIS = 500;

    private final long waitMillis;
    private final long pauseMillis;

    Followed(long waitMillis, long pauseMillis) {
        this.waitMillis = waitMillis;
        this.pauseMillis = pauseMillis;
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
