package org.verbenamast.core.store;

/** The events of the chart of a call to the table service. */
public enum StoreEvent {
    /** The call is sent for the first time. */
    START,
    /** The table service replied to the current attempt. */
    REPLIED,
    /** No reply to the current attempt came in time. */
    TIMED_OUT,
    /** The delay before the next attempt has passed. */
    BACKOFF_ENDED
}
