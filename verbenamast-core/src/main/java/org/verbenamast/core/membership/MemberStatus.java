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

    private final boolean takesSlices;
    private final boolean over;

    MemberStatus(boolean takesSlices, boolean over) {
        this.takesSlices = takesSlices;
        this.over = over;
    }

    /**
     * Tells whether the member may be given slices.
     *
     * @return whether it may
     */
    public boolean takesSlices() {
        return takesSlices;
    }

    /**
     * Tells whether the member can never serve again.
     *
     * @return whether its incarnation has ended
     */
    public boolean over() {
        return over;
    }
}
