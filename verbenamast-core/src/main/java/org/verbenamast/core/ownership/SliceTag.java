package org.verbenamast.core.ownership;

/** The tags that the chart of a slice gives its states. */
public enum SliceTag {
    /** New requests for the slice are admitted. */
    ADMITS,
    /** A move may start. */
    MOVABLE,
    /** The move may be cancelled or get another target, because no write of the next grant is under way. */
    REDIRECTABLE,
    /** The node may write the next owner's grant: the slice is drained, or an earlier write may still take effect. */
    READY_FOR_HAND_OVER,
    /** A move to another member is under way. */
    MOVING
}
