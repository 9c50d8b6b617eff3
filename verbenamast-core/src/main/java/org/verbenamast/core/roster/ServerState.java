package org.verbenamast.core.roster;

/** Whether a backend server receives new requests. */
public enum ServerState {
    /** The server accepts new requests. */
    READY(true),
    /** The server finishes its running requests before it leaves. */
    DRAINING(false),
    /** The server has left, or its heartbeats have stopped. */
    LEFT(false);

    private final boolean acceptsRequests;

    ServerState(boolean acceptsRequests) {
        this.acceptsRequests = acceptsRequests;
    }

    /**
     * Returns whether the server may receive new requests.
     *
     * @return whether it accepts new requests
     */
    public boolean acceptsRequests() {
        return acceptsRequests;
    }
}
