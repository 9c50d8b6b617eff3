package org.verbenamast.core.gate.limit;

/** The marks that the chart of the backend server gives its states. */
public enum ServerTag {
    /** The backend server may be given requests. */
    OPEN,
    /** The backend server may fall over under its full load. */
    COLD,
    /** The backend server has not announced itself for too long. */
    SILENT,
    /** The node gives its slices to others until the backend server takes work again. */
    WITHDRAWN
}
