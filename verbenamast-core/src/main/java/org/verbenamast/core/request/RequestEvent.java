package org.verbenamast.core.request;

/** What may happen to a request at the member that took it from its caller. */
public enum RequestEvent {
    /** The request is to be routed. */
    ROUTE,
    /** The member that had a try says how it ended. */
    ENDED,
    /** A try certainly did not reach the member it was sent to. */
    NOT_SENT,
    /** The link to the member that has a try broke. */
    LINK_LOST,
    /** The first try has lasted so long that a second one may pay. */
    HEDGE_DUE,
    /** The deadline passed. */
    DEADLINE_DUE,
    /** The caller is gone. */
    CALLER_GONE
}
