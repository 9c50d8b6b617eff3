package org.verbenamast.core.ownership;

import java.util.Objects;

/**
 * The input of an event of the chart of a slice.
 *
 * @param move the move that the plan asks for, or {@link SliceMove#NONE}
 */
public record SliceInput(SliceMove move) {

    /** The input of events that carry no move. */
    public static final SliceInput NONE = new SliceInput(SliceMove.NONE);

    /** Checks that the move is present. */
    public SliceInput {
        Objects.requireNonNull(move, "move");
    }
}
