package org.verbenamast.core.keys;

/** What happens to the right of a node to grant keys. */
public enum KeyLeaseEvent {
    /** A run of the backend server is known that may hold keys. */
    SERVER_KNOWN,
    /** The server has left, or another run of it has begun. */
    SERVER_GONE,
    /** Rows were read. */
    READ,
    /** The lease was written. */
    WRITTEN,
    /** The row was not as expected. */
    CONFLICT,
    /** A call to the store failed. */
    FAILED,
    /** The lease is to be renewed. */
    RENEWAL_DUE,
    /** The pause after a failure is over. */
    RETRY_DUE,
    /** The process may have stood still for longer than its clock tells. */
    SUSPENDED
}
