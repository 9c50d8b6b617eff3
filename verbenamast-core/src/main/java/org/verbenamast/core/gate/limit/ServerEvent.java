package org.verbenamast.core.gate.limit;

/** The events of chart {@code server}, the backend server beside this node. */
public enum ServerEvent {
    /** The backend server announced itself. */
    ANNOUNCED,
    /** The backend server answered a request. */
    SUCCEEDED,
    /** The backend server refused a request without running it. */
    SHED,
    /** The requests at the backend server take much longer than usual. */
    SLOWED,
    /** A connection broke while the backend server was running a request. */
    CONNECTION_LOST,
    /** A connection to the backend server could not be opened. */
    CONNECTION_FAILED,
    /** No announcement arrived within the silence timeout. */
    SILENT
}
