package org.verbenamast.core.request.peer;

/** What a node sees of a member that it sends requests to. */
public enum HealthEvent {
    /** The member could not be reached, or its backend server could not. */
    FAILED,
    /** The member's backend server answered. */
    SUCCEEDED,
    /** A request was sent to the member. */
    SENT,
    /** The pause is over. */
    PAUSE_OVER,
    /** The member's incarnation has ended. */
    ENDED
}
