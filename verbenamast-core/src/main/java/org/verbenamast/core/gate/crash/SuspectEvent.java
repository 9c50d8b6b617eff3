package org.verbenamast.core.gate.crash;

/** What may happen to a request that is suspected to crash backend servers. */
public enum SuspectEvent {
    /** A connection to a backend server broke while it had the request. */
    ACCUSED,
    /** A backend server that had the request crashed. */
    CONFIRMED,
    /** A backend server that had the request did not crash after all. */
    DISMISSED,
    /** A backend server ran the request and is well. */
    RAN_WELL,
    /** The request was sent again and refused. */
    REFUSED,
    /** It was not told in time whether the backend servers crashed. */
    RESOLVE_DUE,
    /** The request was not seen for a long time. */
    EXPIRED
}
