package org.verbenamast.core.backend;

/** What is heard of the server beside this node. */
public enum BackendEvent {
    /** A heartbeat of a run that wants work. */
    READY,
    /** A heartbeat of a run that is about to leave, or its farewell. */
    LEAVING,
    /** No heartbeat came for too long. */
    SILENT
}
