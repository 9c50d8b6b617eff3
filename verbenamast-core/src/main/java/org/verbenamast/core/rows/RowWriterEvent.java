package org.verbenamast.core.rows;

/** The events of the chart of a row writer. */
public enum RowWriterEvent {
    /** The required content of the rows may have changed. */
    REVIEW,
    /** The transaction was committed. */
    COMMITTED,
    /** A row did not have the expected version; the answer contains its current state. */
    CONFLICTED,
    /** The store answered a read. */
    READ,
    /** The call failed without effect. */
    REFUSED,
    /** The call failed, but may have taken effect or may still do so. */
    UNCLEAR,
    /** The retry delay after a failed call has elapsed. */
    PAUSE_OVER
}
