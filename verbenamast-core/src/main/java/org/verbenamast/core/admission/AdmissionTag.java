package org.verbenamast.core.admission;

/** The tags that the chart of a request at the admission controller gives its states. */
public enum AdmissionTag {
    /** The request waits until the server is granted its key. */
    AWAITING_KEY,
    /** The request is queued. */
    WAITING,
    /** The server has the request and has not answered it yet. */
    RUNNING,
    /** The server has answered, and its large answer is on its way to the sender. */
    SENDING
}
