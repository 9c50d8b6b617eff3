package org.verbenamast.core.ownership;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.MemberId;

/**
 * A planned move of a slice.
 *
 * @param target the next owner, or {@link MemberId#NONE} where the slice is given up without one
 * @param drainNanos how long to wait for the requests at the backend server, in nanoseconds
 */
public record SliceMove(MemberId target, long drainNanos) {

    /** Stands for no move. */
    public static final SliceMove NONE = new SliceMove(MemberId.NONE, 0);

    /** Checks the parts. */
    public SliceMove {
        Objects.requireNonNull(target, "target");
        Checks.notNegative("drainNanos", drainNanos);
    }
}
