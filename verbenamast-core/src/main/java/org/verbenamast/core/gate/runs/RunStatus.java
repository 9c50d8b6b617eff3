package org.verbenamast.core.gate.runs;

/** What a node knows of the runs of a non-idempotent request. */
public enum RunStatus {
    /** No send of the request has gone to a backend server. */
    FRESH,
    /** The backend server is running a send of the request. */
    UNDER_WAY,
    /** A send of the request went to the backend server, and its outcome is on record. */
    ENDED,
    /** The records of the slice's earlier owner are in transit. */
    AWAITED,
    /** A send of the request may have run, and no record shows whether it did. */
    UNCERTAIN,
    /** No send has run, but the table of run records is full. */
    FULL
}
