package org.verbenamast.core.gate;

/** What may happen to a request at the member whose backend server is to run it. */
public enum ServeEvent {
    /** The request has come in. */
    OFFERED,
    /** The backend server has room for one more request. */
    SLOT_FREED,
    /** The backend server is done with the request. */
    SERVER_REPLIED,
    /** The deadline passed. */
    DEADLINE_DUE,
    /** Nobody waits for the request any more. */
    CANCELLED
}
