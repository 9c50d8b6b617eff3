package org.verbenamast.core.membership;

/** Where a member stands, as its row says. */
public enum MemberStatus {
    /** The member serves and may be given slices. */
    ACTIVE(true, false),
    /** The backend server beside the member takes no work at present, so that the member is given nothing new. */
    WITHDRAWN(false, false),
    /** The member is stopping and is given nothing new. */
    LEAVING(false, false),
    /** The member's incarnation is over for good. */
    ENDED(false, true);

    private final boolean acceptsSlices;
    private final boolean hasEnded;

    MemberStatus(boolean takesSlices, boolean over) {
        this.acceptsSlices = takesSlices;
        this.hasEnded = over;
    }

    /**
     * Tells whether the member may be given slices.
     *
     * @return whether it may
     */
    public boolean acceptsSlices() {
        return acceptsSlices;
    }

    /**
     * Tells whether the member can never serve again.
     *
     * @return whether its incarnation has ended
     */
    public boolean hasEnded() {
        return hasEnded;
    }
}
