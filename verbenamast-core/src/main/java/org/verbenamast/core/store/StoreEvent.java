package org.verbenamast.core.store;

/** What may happen to a call to the table service. */
public enum StoreEvent {
    /** The call is sent for the first time. */
    START,
    /** The table service answered the present attempt. */
    REPLIED,
    /** No answer to the present attempt came in time. */
    TIMED_OUT,
    /** The pause before the next attempt is over. */
    BACKOFF_ENDED
}
