package org.verbenamast.core.gate.crash;

/** Whether a request may run, as far as crashes tell. */
public enum SuspectStatus {
    /** The request may run. */
    CLEAR,
    /** The request may not run at present. */
    HELD,
    /** The request may not run. */
    STOPPED
}
