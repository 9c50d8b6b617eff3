package org.verbenamast.core.watch;

/** The tables that every node follows. */
public enum Followed {
    /** What operators write: the manifest and the availability zones that are out. */
    OPERATORS(6_000, 0),
    /** What nodes tell each other: members and owners of keys. Most of it they tell directly as well. */
    SHARED(10_000, 1_500);

    private final long waitMillis;
    private final long pauseMillis;

    Followed(long waitMillis, long pauseMillis) {
        this.waitMillis = waitMillis;
        this.pauseMillis = pauseMillis;
    }

    /**
     * Returns how long one call waits for a change. A call that is lost is noticed only after this time.
     *
     * @return the time, in milliseconds
     */
    public long waitMillis() {
        return waitMillis;
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
