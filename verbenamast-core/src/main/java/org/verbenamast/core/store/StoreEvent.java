package org.verbenamast.core.store;

/** What may happen to a call to the table service. */
public enum StoreEvent {
    /** The call is sent for the first time. */
    START,
    /** The table service answered. */
    REPLIED,
    /** No answer came in time. */
    TIMED_OUT
}
