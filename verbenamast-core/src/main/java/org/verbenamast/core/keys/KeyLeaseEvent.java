package org.verbenamast.core.keys;

/** The events of a key lease, the right of a node to grant keys. */
public enum KeyLeaseEvent {
    /** A server incarnation that may be granted keys is known. */
    SERVER_KNOWN,
    /** The server has left, or another incarnation of it has started. */
    SERVER_GONE,
    /** The store returned the rows that were read. */
    READ,
    /** The lease was written. */
    WRITTEN,
    /** The row has another version than the write expected. */
    CONFLICT,
    /** A call to the store failed. */
    FAILED,
    /** The renewal interval has elapsed. */
    RENEWAL_DUE,
    /** The pause after a failure has elapsed. */
    RETRY_DUE,
    /** The process may have been suspended for longer than its clock shows. */
    SUSPENDED
}
