package org.verbenamast.core.ownership;

/** How a member became the owner of a slice. */
public enum GrantOrigin {
    /** The slice had no owner: it was never owned, or its last owner gave it up without a successor. */
    CLAIMED(false),
    /** The previous owner finished its requests and handed the slice over. */
    HANDED_OVER(false),
    /** The previous owner's incarnation was ended, possibly while it had requests running. */
    TAKEN_OVER(true);

    private final boolean earlierRequestsMayRun;

    GrantOrigin(boolean requestsMayRun) {
        this.earlierRequestsMayRun = requestsMayRun;
    }

    /**
     * Returns whether requests of the previous owner may still run at a backend server that does not check epochs.
     *
     * @return {@code true} if they may
     */
    public boolean earlierRequestsMayRun() {
        return earlierRequestsMayRun;
    }
}
