package org.verbenamast.core.keys;

/** What happens to a lease that another node watches. */
public enum LeaseWatchEvent {
    /** The row was read. */
    READ,
    /** The read failed. */
    FAILED,
    /** The server is known to have ended. */
    ENDED,
    /** The pause after a failure is over. */
    RETRY_DUE,
    /** The longest time that the lease can last is over. */
    LEASE_OVER,
    /** The row was written by its granter. */
    RENEWED
}
