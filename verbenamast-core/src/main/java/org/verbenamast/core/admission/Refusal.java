package org.verbenamast.core.admission;

/** Why a request did not reach a backend server; such a request has not run and never will. */
public enum Refusal {
    /** Another run of the server, or another server, is there. */
    WRONG_SERVER(true, true, 0),
    /** The server is leaving. */
    LEAVING(true, true, 0),
    /** Operators have taken the availability zone out. */
    EVACUATED(true, true, 0),
    /** The server does not hold the request's key. */
    NOT_OWNER(false, true, 0),
    /** The server has just started and bears no more requests at present. */
    COLD(true, false, 0),
    /** Too many requests wait already. */
    FULL(true, false, 0),
    /** The node beside the server is stopping. */
    STOPPING(true, true, 0),
    /** The request is suspected to crash servers. */
    SUSPECT(false, false, 0),
    /** The time that is left is too short. */
    TOO_LATE(false, false, 0),
    /** No server of the service is known or reached. */
    NO_SERVER(false, false, 0),
    /** The server itself said that it did not run the request. */
    SHED(true, false, 1),
    /** The server said that the request is for another server, or for keys that it does not hold. */
    MISDIRECTED(true, true, 1),
    /** The node beside the server does not reach it. */
    UNREACHABLE(true, true, 0),
    /** The node beside the server was not reached. */
    NODE_UNREACHED(true, true, 0);

    private final boolean otherServerMayServe;
    private final boolean viewOutdated;
    private final int countedSends;

    Refusal(boolean otherServerMayServe, boolean viewOutdated, int arrivals) {
        this.otherServerMayServe = otherServerMayServe;
        this.viewOutdated = viewOutdated;
        this.countedSends = arrivals;
    }

    /**
     * Tells whether it makes sense to ask another server at once.
     *
     * @return whether another server may serve the request
     */
    public boolean otherServerMayServe() {
        return otherServerMayServe;
    }

    /**
     * Tells whether the sender should not choose the server again for a while.
     *
     * @return whether the sender's view of the server was outdated
     */
    public boolean viewOutdated() {
        return viewOutdated;
    }

    /**
     * Tells whether the reason passes within moments, so that the same server may be asked again.
     *
     * @return whether the keys are only on their way
     */
    public boolean isTransient() {
        return this == NOT_OWNER || this == MISDIRECTED;
    }

    /**
     * Returns how many arrivals at a server the refused try counts for the retry budget.
     *
     * @return 1 where the server itself refused, otherwise 0
     */
    public int countedSends() {
        return countedSends;
    }
}
