package org.verbenamast.core.roster;

/** Whether a backend server is given new work. */
public enum ServerState {
    /** The server serves. */
    READY(true),
    /** The server is about to leave. */
    DRAINING(false),
    /** The server has left or was lost. */
    LEFT(false);

    private final boolean acceptsRequests;

    ServerState(boolean takesWork) {
        this.acceptsRequests = takesWork;
    }

    /**
     * Tells whether new requests may go to the server.
     *
     * @return whether it takes new work
     */
    public boolean acceptsRequests() {
        return acceptsRequests;
    }
}
