package org.verbenamast.core.ownership;

/** The marks that the chart of a slice gives its states. */
public enum SliceTag {
    /** New requests for the slice are admitted. */
    ADMITS,
    /** The slice may be passed on in the table service. */
    PASSABLE,
    /** The slice is on its way to another member. */
    MOVING
}
