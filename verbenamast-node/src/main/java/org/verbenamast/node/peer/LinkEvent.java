package org.verbenamast.node.peer;

/** What may happen to a link to another member. */
public enum LinkEvent {
    /** A message is to be sent. */
    SEND,
    /** The connection stands. */
    CONNECTED,
    /** No connection could be made. */
    CONNECT_FAILED,
    /** The connection broke. */
    BROKEN,
    /** A write has finished. */
    WRITTEN,
    /** A link that failed may be tried again. */
    PAUSE_OVER,
    /** The process is closing. */
    CLOSE
}
