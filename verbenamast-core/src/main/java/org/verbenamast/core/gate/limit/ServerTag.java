package org.verbenamast.core.gate.limit;

/** The tags of the states of chart {@code server}. */
public enum ServerTag {
    /** Requests may be sent to the backend server. */
    OPEN,
    /** The backend server may fail under its full load, so its concurrency limit is still growing. */
    COLD,
    /** No announcement of the backend server arrived within the silence timeout. */
    SILENT,
    /** The node hands its slices to other members until the backend server accepts requests again. */
    WITHDRAWN
}
