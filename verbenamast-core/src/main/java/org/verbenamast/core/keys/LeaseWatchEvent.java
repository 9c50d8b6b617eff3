package org.verbenamast.core.keys;

/** The events of a key lease that another node watches. */
public enum LeaseWatchEvent {
    /** The store returned the row. */
    READ,
    /** The store could not be read. */
    FAILED,
    /** The server is known to have ended. */
    ENDED,
    /** The pause after a failure has elapsed. */
    RETRY_DUE,
    /** The maximum duration of the lease has elapsed. */
    LEASE_OVER,
    /** The node that holds the lease has written the row again. */
    RENEWED
}
