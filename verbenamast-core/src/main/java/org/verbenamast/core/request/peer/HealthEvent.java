package org.verbenamast.core.request.peer;

/** The events of a member that this node sends requests to. */
public enum HealthEvent {
    /** The member or its backend server could not be reached or refused work, or an attempt's outcome is unknown. */
    FAILED,
    /** The member's backend server answered. */
    SUCCEEDED,
    /** A request was sent to the member. */
    SENT,
    /** The pause or the wait for the probe has ended. */
    PAUSE_OVER,
    /** The member's incarnation has ended. */
    ENDED
}
