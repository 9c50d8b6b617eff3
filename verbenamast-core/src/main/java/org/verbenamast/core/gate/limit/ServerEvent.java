package org.verbenamast.core.gate.limit;

/** What may happen to the backend server beside this node, as the node sees it. */
public enum ServerEvent {
    /** The backend server announced itself. */
    ANNOUNCED,
    /** The backend server answered a request. */
    SUCCEEDED,
    /** The backend server refused a request. */
    SHED,
    /** The requests that the backend server has last much longer than usual. */
    SLOWED,
    /** A connection to the backend server broke. */
    CONNECTION_LOST,
    /** The backend server takes no connection. */
    CONNECTION_FAILED,
    /** The backend server has not announced itself for too long. */
    SILENT
}
