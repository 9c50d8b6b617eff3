package org.verbenamast.core.gate.crash;

/** The kinds of crash notice that members send each other. */
public enum CrashNoticeKind {
    /** The connection to a backend server broke while it was running the requests. */
    ACCUSED(SuspectEvent.ACCUSED),
    /** The backend server of an earlier accusation crashed. */
    CONFIRMED(SuspectEvent.CONFIRMED),
    /** The backend server of an earlier accusation did not crash. */
    DISMISSED(SuspectEvent.DISMISSED),
    /** A backend server ran the request without crashing. */
    RAN_WELL(SuspectEvent.RAN_WELL);

    private final SuspectEvent event;

    CrashNoticeKind(SuspectEvent event) {
        this.event = event;
    }

    /**
     * Returns whether a notice of this kind incriminates the requests.
     *
     * @return whether it reports a possible or confirmed crash
     */
    public boolean accuses() {
        return this == ACCUSED || this == CONFIRMED;
    }

    /**
     * Returns the event that a notice of this kind is for a suspected request.
     *
     * @return the event in chart {@code suspect}
     */
    public SuspectEvent event() {
        return event;
    }
}
