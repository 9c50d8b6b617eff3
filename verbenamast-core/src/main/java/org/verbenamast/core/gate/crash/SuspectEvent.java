package org.verbenamast.core.gate.crash;

/** The events of chart {@code suspect}, a request that is suspected of crashing backend servers. */
public enum SuspectEvent {
    /** A connection to a backend server broke while it was running the request. */
    ACCUSED,
    /** A backend server that was running the request crashed. */
    CONFIRMED,
    /** A backend server that was running the request did not crash. */
    DISMISSED,
    /** A backend server ran the request without crashing. */
    RAN_WELL,
    /** The request arrived again and was refused. */
    REFUSED,
    /** The incidents were neither confirmed nor dismissed in time. */
    RESOLVE_DUE,
    /** The suspicion or ban has expired. */
    EXPIRED
}
