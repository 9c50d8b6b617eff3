package org.verbenamast.core.gate.runs;

/** What a node knows of the runs of a non-idempotent request. */
public enum RunStatus {
    /** No send of the request was given to a backend server. */
    FRESH,
    /** The backend server has a send of the request. */
    UNDER_WAY,
    /** A send of the request was given to the backend server, and how it ended is known. */
    ENDED,
    /** The records of the slice's earlier owner are on their way. */
    AWAITED,
    /** A send of the request may have run, and nothing tells. */
    UNCERTAIN,
    /** No send ran, but one more run can't be recorded. */
    FULL
}
