package org.verbenamast.core.gate.runs;

/** What may happen to the record of a run. */
public enum RunEvent {
    /** The backend server is done with the request. */
    ENDED,
    /** The request can't be sent again any more. */
    WINDOW_OVER
}
