package org.verbenamast.core.ownership;

/** How an owner came by a slice. */
public enum GrantOrigin {
    /** The slice was never owned before. */
    CLAIMED(false),
    /** The earlier owner finished its work and passed the slice on. */
    HANDED_OVER(false),
    /** The earlier owner's incarnation was ended while it may have had requests running. */
    TAKEN_OVER(true);

    private final boolean earlierRequestsMayRun;

    GrantOrigin(boolean requestsMayRun) {
        this.earlierRequestsMayRun = requestsMayRun;
    }

    /**
     * Tells whether requests of the earlier owner may still run at a backend server that does not check epochs.
     *
     * @return whether they may
     */
    public boolean earlierRequestsMayRun() {
        return earlierRequestsMayRun;
    }
}
