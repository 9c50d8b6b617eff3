package org.verbenamast.core.entry;

/** What happens to a request at the node that took it from its caller. */
public enum EntryEvent {
    /** A server was looked for. */
    ROUTED,
    /** The node beside the server said that the request has not run there and will not. */
    REFUSED,
    /** The node beside the server was not reached; nothing was sent. */
    UNREACHED,
    /** The connection broke after the request was sent, or the answer was unusable; the request may have run. */
    BROKEN,
    /** The server's answer has come, whole or as far as it is kept before it is passed on. */
    ANSWERED,
    /** The caller has the whole answer. */
    DELIVERED,
    /** A server is to be looked for again. */
    AGAIN_DUE,
    /** The request's time is over. */
    TIME_OVER,
    /** The caller has closed its connection. */
    CALLER_GONE
}
