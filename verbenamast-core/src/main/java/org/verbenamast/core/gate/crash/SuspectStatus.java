package org.verbenamast.core.gate.crash;

/** Whether a request may run, given the crashes that it is suspected of. */
public enum SuspectStatus {
    /** The request may run. */
    CLEAR,
    /** The request may not run at present, but a retry may succeed. */
    HELD,
    /** The request is refused for good, or cannot be run safely while it is suspected. */
    STOPPED
}
