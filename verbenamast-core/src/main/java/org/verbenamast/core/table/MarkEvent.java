package org.verbenamast.core.table;

/** What may happen to a mark on its way into the table service. */
public enum MarkEvent {
    /** An operator set the mark here. */
    TAKEN,
    /** Another member passed the mark on before the table service had it. */
    HEARD,
    /** The table service took the mark. */
    WRITTEN,
    /** The row had changed in the meantime. */
    CONFLICTED,
    /** The table service gave no usable answer. */
    FAILED,
    /** The table service has this mark or a newer one. */
    DURABLE_SEEN,
    /** It is time to pass the mark on and to write it. */
    RETRY_DUE
}
