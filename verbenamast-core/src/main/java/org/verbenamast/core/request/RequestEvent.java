package org.verbenamast.core.request;

/** The events of a request at its entry node, the node that received it from the caller. */
public enum RequestEvent {
    /** The request is due to be routed, for the first time or again. */
    ROUTE,
    /** The member that had an attempt reported its outcome. */
    ENDED,
    /** An attempt certainly did not reach the member that it was addressed to. */
    NOT_SENT,
    /** The link to the member that has an attempt was lost. */
    LINK_LOST,
    /** The open attempt has taken so long that a hedge may answer sooner. */
    HEDGE_DUE,
    /** The deadline passed. */
    DEADLINE_DUE,
    /** The caller has disconnected. */
    CALLER_GONE
}
