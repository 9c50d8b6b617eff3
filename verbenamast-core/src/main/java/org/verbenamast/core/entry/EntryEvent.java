package org.verbenamast.core.entry;

/** The events in the chart of a request at its entry node. */
public enum EntryEvent {
    /** The selection of a server ended, with or without a result. */
    ROUTED,
    /** The node beside the server reported that the request has not run there and will not run. */
    REFUSED,
    /** The node beside the server could not be reached; nothing was sent. */
    UNREACHED,
    /** The connection broke after the request was sent, or the answer was unusable; the request may have run. */
    BROKEN,
    /** This node no longer has the beginning of the request's body. */
    BODY_DROPPED,
    /** The server's answer is complete, or has filled the buffer that precedes the delivery to the caller. */
    ANSWERED,
    /** The caller has received the complete answer. */
    DELIVERED,
    /** The key of a waiting request has an owner that can be asked. */
    OWNER_KNOWN,
    /** The pause has ended, and a server is selected again. */
    AGAIN_DUE,
    /** The first attempt takes longer than most do. */
    HEDGE_DUE,
    /** The selection of a server for a hedge ended, with or without a result. */
    HEDGE_ROUTED,
    /** The request's deadline has passed. */
    TIME_OVER,
    /** The caller has closed its connection. */
    CALLER_GONE
}
