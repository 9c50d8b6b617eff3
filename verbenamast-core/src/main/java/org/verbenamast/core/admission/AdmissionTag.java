package org.verbenamast.core.admission;

/** The marks that the chart of a request at the gate gives its states. */
public enum AdmissionTag {
    /** The request waits for room. */
    WAITING,
    /** The server has the request. */
    RUNNING
}
