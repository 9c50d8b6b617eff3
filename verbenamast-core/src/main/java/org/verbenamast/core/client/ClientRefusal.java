package org.verbenamast.core.client;

/** Why a client's connection was closed or refused before its own end. */
public enum ClientRefusal {
    /** As many connections were open as may be. */
    CONNECTIONS,
    /** All clients together held as much as they may. */
    HELD_BYTES,
    /** The client made no progress with a head or a body for too long. */
    NO_PROGRESS,
    /** A head, the empty lines before it or a trailer were longer than they may be. */
    HEAD_TOO_LONG,
    /** The end of a head could not be told. */
    MALFORMED
}
