package org.verbenamast.core.membership;

/** What may happen to this node's reading of the tables. */
public enum TableReadEvent {
    /** The node has started. */
    START,
    /** A table was read. */
    TABLE_READ,
    /** The table service gave no usable answer. */
    FAILED,
    /** This node's row was written: whoever joined at the same time may have been missed. */
    JOINED,
    /** It is time to try again. */
    RETRY_DUE,
    /** It is time to read all tables again. */
    REREAD_DUE
}
