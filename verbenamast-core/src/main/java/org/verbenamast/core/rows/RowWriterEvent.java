package org.verbenamast.core.rows;

/** What happens to a part of a node that keeps rows in the store. */
public enum RowWriterEvent {
    /** What the rows should hold may have changed. */
    REVIEW,
    /** The rows were written. */
    COMMITTED,
    /** A row was not as expected; its present state came with the answer. */
    CONFLICTED,
    /** The rows were read. */
    READ,
    /** The call did nothing. */
    REFUSED,
    /** The call may have done something, now or later. */
    UNCLEAR,
    /** The pause after a failure is over. */
    PAUSE_OVER
}
