package org.verbenamast.core.gate;

/** The events of chart {@code serve}, the execution of a request. */
public enum ExecutionEvent {
    /** The request has arrived. */
    OFFERED,
    /** The sender made another attempt at a request that is still open here. */
    OFFERED_AGAIN,
    /** The backend server has a free slot, or no longer accepts requests. */
    SLOT_FREED,
    /** The run of another send under the same idempotency key has ended. */
    RUN_ENDED,
    /** The backend server is done with the request. */
    SERVER_REPLIED,
    /** The deadline of the request has passed. */
    DEADLINE_DUE,
    /** The sender no longer waits for the request. */
    CANCELLED
}
