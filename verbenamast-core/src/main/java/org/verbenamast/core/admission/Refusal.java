package org.verbenamast.core.admission;

/** The reason why a request was refused, by a node or by a backend server; it has not run and will not run. */
public enum Refusal {
    /** The node has another incarnation of the server, another server, or none. */
    WRONG_SERVER(true, true, 0),
    /** The server is draining before it leaves. */
    LEAVING(true, true, 0),
    /** Operators have evacuated the availability zone: they have taken it out of service. */
    EVACUATED(true, true, 0),
    /** The request's key is not granted to the server. */
    NOT_OWNER(false, true, 0),
    /** The server has just started and is limited to a lower rate, which is used up. */
    COLD(true, false, 0),
    /** Too many requests are queued already. */
    FULL(true, false, 0),
    /** The node beside the server is stopping. */
    STOPPING(true, true, 0),
    /** The request is suspected of crashing servers. */
    SUSPECT(false, false, 0),
    /** The time that is left until the deadline is too short. */
    TOO_LATE(false, false, 0),
    /** No server of the service is known or reachable. */
    NO_SERVER(false, false, 0),
    /** The server itself reported that it did not run the request. */
    SHED(true, false, 1),
    /** The server reported that the request is for another server, or for a key that it does not hold. */
    MISDIRECTED(true, true, 1),
    /** The node beside the server could not reach the server. */
    UNREACHABLE(true, true, 0),
    /** The node beside the server could not be reached. */
    NODE_UNREACHED(true, true, 0);

    /** Delay before a refused caller may retry when no server has reported an expected delay, in milliseconds. */
    private static final long DEFAULT_RETRY_MILLIS = 300;
    /** Delay before a request that crashes servers may be sent again, in milliseconds. */
    private static final long SUSPECT_RETRY_MILLIS = 60_000;

    private final boolean otherServerMayServe;
    private final boolean viewOutdated;
    private final int countedSends;

    Refusal(boolean otherServerMayServe, boolean viewOutdated, int arrivals) {
        this.otherServerMayServe = otherServerMayServe;
        this.viewOutdated = viewOutdated;
        this.countedSends = arrivals;
    }

    /**
     * Returns whether it makes sense to ask another server at once.
     *
     * @return whether another server may serve the request
     */
    public boolean otherServerMayServe() {
        return otherServerMayServe;
    }

    /**
     * Returns whether the sender's view of the server was outdated, so that it should not select the same server again
     * for a while.
     *
     * @return whether the sender has to look up the server again
     */
    public boolean viewOutdated() {
        return viewOutdated;
    }

    /**
     * Returns whether the reason is expected to disappear shortly, so that the same server may be asked again.
     *
     * @return whether the key is only moving to another server
     */
    public boolean isTransient() {
        return this == NOT_OWNER || this == MISDIRECTED;
    }

    /**
     * Returns whether the same server may run the request at once: it rejects requests although it has room.
     *
     * @return whether it makes sense to send the request to the same server again
     */
    public boolean sameServerMayServe() {
        return this == SHED;
    }

    /**
     * Returns when a refused caller may retry if no server has reported an expected delay.
     *
     * @return the delay, in milliseconds
     */
    public long retryMillis() {
        return this == SUSPECT ? SUSPECT_RETRY_MILLIS : DEFAULT_RETRY_MILLIS;
    }

    /**
     * Returns how many sends to a server the refused attempt counts for the retry budget.
     *
     * @return 1 if the server itself refused the request, otherwise 0
     */
    public int countedSends() {
        return countedSends;
    }
}
