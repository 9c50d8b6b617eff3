package org.verbenamast.core.admission;

/** The events in the chart of a request at the admission controller. */
public enum AdmissionEvent {
    /** The controller decided whether to dispatch, queue or refuse the request. */
    JUDGED,
    /** The server was granted the key of a request that waits for it. */
    KEY_GRANTED,
    /** The server was not granted the key of a waiting request in time. */
    KEY_OVERDUE,
    /** The server has room for a queued request. */
    ROOM,
    /** The server can no longer serve a queued request. */
    REJECTED,
    /** The sender withdrew the request. */
    WITHDRAWN,
    /** The server answered. */
    ANSWERED,
    /** The connection to the server broke, or the server has not run the request. */
    BROKEN,
    /** The sender has received all of the answer. */
    RECEIVED,
    /** The request was queued for so long that the server can no longer answer before the deadline. */
    PATIENCE_OVER,
    /** The request's deadline has passed. */
    TIME_OVER
}
