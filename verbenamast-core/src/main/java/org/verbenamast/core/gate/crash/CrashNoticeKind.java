package org.verbenamast.core.gate.crash;

/** What members tell each other about requests and crashes. */
public enum CrashNoticeKind {
    /** The connection to a backend server broke while it had the requests. */
    ACCUSED(SuspectEvent.ACCUSED),
    /** That backend server crashed. */
    CONFIRMED(SuspectEvent.CONFIRMED),
    /** That backend server did not crash. */
    DISMISSED(SuspectEvent.DISMISSED),
    /** A backend server ran the request and is well. */
    RAN_WELL(SuspectEvent.RAN_WELL);

    private final SuspectEvent event;

    CrashNoticeKind(SuspectEvent event) {
        this.event = event;
    }

    /**
     * Tells whether the news hold something against a request.
     *
     * @return whether they do
     */
    public boolean accuses() {
        return this == ACCUSED || this == CONFIRMED;
    }

    /**
     * Returns what the news mean to a suspected request.
     *
     * @return the event in its chart
     */
    public SuspectEvent event() {
        return event;
    }
}
