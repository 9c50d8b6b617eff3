package org.verbenamast.core.roster;

/** Whether a backend server receives new requests. */
public enum ServerState {
    /** The server accepts new requests. */
    READY(true),
    /** The server has announced that it leaves; this is final for its incarnation. */
    DRAINING(false),
    /** The server's heartbeats have stopped; it accepts requests again once they resume. */
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
