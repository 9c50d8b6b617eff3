package org.verbenamast.core.backend;

/** The events of chart {@code backend}, the backend server beside this node. */
public enum BackendEvent {
    /** The node has read its own row, or that there is none. */
    RESTORED,
    /** A heartbeat of an incarnation that accepts requests. */
    READY,
    /** A heartbeat of an incarnation that is about to leave, or its leave notice. */
    LEAVING,
    /** No heartbeat arrived within the silence timeout. */
    SILENT
}
