package org.verbenamast.core.request.peer;

/** The tags of states in the chart of a member's health. */
public enum HealthTag {
    /** The member receives no requests. */
    PARKED
}
