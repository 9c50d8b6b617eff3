package org.verbenamast.core.request.peer;

/** The marks that the chart of a member gives its states. */
public enum HealthTag {
    /** The member is given no requests. */
    PARKED
}
