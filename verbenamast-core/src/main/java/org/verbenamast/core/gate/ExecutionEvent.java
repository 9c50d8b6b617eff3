package org.verbenamast.core.gate;

/** What may happen to a request at the member whose backend server is to run it. */
public enum ExecutionEvent {
    /** The request has come in. */
    OFFERED,
    /** The sender tries again a request that is still here. */
    OFFERED_AGAIN,
    /** The backend server has room for one more request, or takes none any more. */
    SLOT_FREED,
    /** The run of another send under the same idempotency key ended. */
    RUN_ENDED,
    /** The backend server is done with the request. */
    SERVER_REPLIED,
    /** The deadline passed. */
    DEADLINE_DUE,
    /** Nobody waits for the request any more. */
    CANCELLED
}
