package org.verbenamast.core.table;

/** The events of the chart {@code mark}. */
public enum MarkEvent {
    /** An operator submitted the mark to this node. */
    TAKEN,
    /** Another member pushed the mark before the table service stored it. */
    HEARD,
    /** The table service stored the mark. */
    WRITTEN,
    /** The row of the subject had changed; nothing was written. */
    CONFLICTED,
    /** The table service gave no usable answer. */
    FAILED,
    /** A row of the table service shows this mark or a newer one. */
    DURABLE_SEEN,
    /** The retry delay has elapsed: the mark is to be pushed and written again. */
    RETRY_DUE
}
