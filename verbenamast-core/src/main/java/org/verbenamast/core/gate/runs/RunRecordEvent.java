package org.verbenamast.core.gate.runs;

/** What may happen to the record of a run. */
public enum RunRecordEvent {
    /** The backend server is done with the request. */
    ENDED,
    /** The answer is not kept any longer. */
    WINDOW_OVER,
    /** The run is not remembered any longer. */
    MEMORY_OVER
}
