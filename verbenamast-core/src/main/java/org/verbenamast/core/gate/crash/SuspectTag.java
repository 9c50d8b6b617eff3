package org.verbenamast.core.gate.crash;

/** The marks that the chart of a suspected request gives its states. */
public enum SuspectTag {
    /** One member may run the request, one send at a time. */
    RUNS_ALONE,
    /** The request waits until it is known whether it crashed backend servers. */
    HELD,
    /** The request is refused. */
    STOPPED
}
