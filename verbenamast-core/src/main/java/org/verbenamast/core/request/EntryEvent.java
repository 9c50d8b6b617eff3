package org.verbenamast.core.request;

/** What may happen to a request at the member that took it from its caller. */
public enum EntryEvent {
    /** The request is to be routed. */
    ROUTE,
    /** The member that had the request says how it ended. */
    ENDED,
    /** The request certainly did not reach the member it was sent to. */
    NOT_SENT,
    /** The link to the member that has the request broke. */
    LINK_LOST,
    /** The deadline passed. */
    DEADLINE_DUE,
    /** The caller is gone. */
    CALLER_GONE
}
