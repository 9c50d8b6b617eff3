package org.verbenamast.core.gate.runs;

/** The events of chart {@code run}, the record of a run. */
public enum RunRecordEvent {
    /** The backend server is done with the request. */
    ENDED,
    /** The resend window has passed. */
    WINDOW_OVER,
    /** The retention time of the record has passed. */
    MEMORY_OVER
}
