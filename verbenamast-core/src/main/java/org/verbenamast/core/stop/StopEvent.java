package org.verbenamast.core.stop;

/** The events of chart {@code stop}, the planned stop of a node. */
public enum StopEvent {
    /** The node was told to stop. */
    STOP,
    /** The time for which a stopping node takes requests is over. */
    LAST_REQUEST_DUE,
    /** The node has looked whether requests are open. */
    REVIEWED,
    /** Requests that are still open have to be answered now. */
    LAST_ANSWER_DUE,
    /** The node has to exit now. */
    EXIT_DUE
}
