package org.verbenamast.core.ownership;

/** The marks that the chart of a slice gives its states. */
public enum SliceTag {
    /** New requests for the slice are admitted. */
    ADMITS,
    /** A move may start. */
    MOVABLE,
    /** The move may be called off or given another target. */
    REDIRECTABLE,
    /** The slice may be passed on in the table service. */
    READY_FOR_HAND_OVER,
    /** The slice is on its way to another member. */
    MOVING
}
