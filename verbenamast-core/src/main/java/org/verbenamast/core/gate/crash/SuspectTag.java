package org.verbenamast.core.gate.crash;

/** The tags of the states of chart {@code suspect}. */
public enum SuspectTag {
    /** A single member may run the request, one send at a time. */
    EXCLUSIVE,
    /** No member runs the request until it is known whether it crashed backend servers. */
    HELD,
    /** The request is refused. */
    STOPPED
}
