package org.verbenamast.core.backend;

/** The marks that the chart of the server beside this node gives its states. */
public enum BackendTag {
    /** The server is there. */
    PRESENT,
    /** The server is leaving. */
    LEAVING
}
