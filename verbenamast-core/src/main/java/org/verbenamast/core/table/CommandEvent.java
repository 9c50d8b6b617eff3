package org.verbenamast.core.table;

/** The events of the chart {@code command}. */
public enum CommandEvent {
    /** The command was received. */
    START,
    /** The table service returned the requested rows. */
    READ,
    /** The transaction was committed. */
    WRITTEN,
    /** The transaction had no effect because a row had changed. */
    CONFLICTED,
    /** The table service gave no usable answer. */
    FAILED,
    /** The retry delay has elapsed. */
    RETRY_DUE
}
