package org.verbenamast.core.admission;

/** What happens to a request at the gate. */
public enum AdmissionEvent {
    /** The gate has looked at the request. */
    JUDGED,
    /** The server has room. */
    ROOM,
    /** The request waits in vain. */
    REJECTED,
    /** The sender no longer wants the request. */
    WITHDRAWN,
    /** The server has answered, or its connection has broken. */
    FINISHED,
    /** The request has waited for so long that the server could not answer in time any more. */
    PATIENCE_OVER,
    /** The request's time is over. */
    TIME_OVER
}
