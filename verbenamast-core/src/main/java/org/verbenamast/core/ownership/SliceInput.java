package org.verbenamast.core.ownership;

import java.util.Objects;

/**
 * What an event tells a slice.
 *
 * @param move where the slice is to move, or {@link SliceMove#NONE}
 */
public record SliceInput(SliceMove move) {

    /** The input of events that tell nothing more. */
    public static final SliceInput NONE = new SliceInput(SliceMove.NONE);

    /** Checks the move. */
    public SliceInput {
        Objects.requireNonNull(move, "move");
    }
}
