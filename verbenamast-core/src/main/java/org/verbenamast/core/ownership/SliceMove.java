package org.verbenamast.core.ownership;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.MemberId;

/**
 * A planned move of a slice to another owner.
 *
 * @param target the next owner, or {@link MemberId#NONE} if the slice is given up without one
 * @param drainNanos how long to wait until the backend server has finished its requests, in nanoseconds
 */
public record SliceMove(MemberId target, long drainNanos) {

    /** No move. */
    public static final SliceMove NONE = new SliceMove(MemberId.NONE, 0);

    /** Checks the components. */
    public SliceMove {
        Objects.requireNonNull(target, "target");
        Checks.notNegative("drainNanos", drainNanos);
    }
}
