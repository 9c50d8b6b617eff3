package org.verbenamast.core.ownership;

import java.util.Objects;

import org.verbenamast.core.model.MemberId;

/**
 * What an event tells a slice.
 *
 * @param target the member that the slice is to move to, or {@link MemberId#NONE}
 */
public record SliceInput(MemberId target) {

    /** The input of events that tell nothing more. */
    public static final SliceInput NONE = new SliceInput(MemberId.NONE);

    /** Checks the target. */
    public SliceInput {
        Objects.requireNonNull(target, "target");
    }
}
