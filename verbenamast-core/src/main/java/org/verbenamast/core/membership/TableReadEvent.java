package org.verbenamast.core.membership;

/** The events of the chart that reads the tables. */
public enum TableReadEvent {
    /** The node has started. */
    START,
    /** The table service returned the rows of the current table. */
    TABLE_READ,
    /** The table service returned no usable reply. */
    FAILED,
    /** This node's row was written. Members that joined at the same time may be missing from the rows read so far. */
    JOINED,
    /** The delay after a failed read has passed. */
    RETRY_DUE,
    /** The delay after a complete pass over the tables has passed. */
    REREAD_DUE
}
