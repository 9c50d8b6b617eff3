package org.verbenamast.core.membership;

/** The status of a member according to its row. */
public enum MemberStatus {
    /** The member serves requests and may be given slices. */
    ACTIVE(true, false),
    /** The backend server beside the member currently accepts no work, so the member gets no new slices. */
    WITHDRAWN(false, false),
    /** The member is stopping and gets no new slices. */
    LEAVING(false, false),
    /** The member's incarnation has ended; no other status follows. */
    ENDED(false, true);

    private final boolean acceptsSlices;
    private final boolean ended;

    MemberStatus(boolean acceptsSlices, boolean ended) {
        this.acceptsSlices = acceptsSlices;
        this.ended = ended;
    }

    /**
     * Returns whether the member may be given slices.
     *
     * @return true for an active member only
     */
    public boolean acceptsSlices() {
        return acceptsSlices;
    }

    /**
     * Returns whether the member's incarnation has ended, so that it can never serve again.
     *
     * @return true if the status is final
     */
    public boolean hasEnded() {
        return ended;
    }
}
