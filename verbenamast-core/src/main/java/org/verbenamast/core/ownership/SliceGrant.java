package org.verbenamast.core.ownership;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.MemberId;

/**
 * The ownership of one slice.
 *
 * @param owner the owner, or {@link MemberId#NONE} if the slice has none
 * @param epoch the fencing token: it grows by 1 with each change of owner and is 0 for a slice that was never owned
 * @param origin how the owner got the slice
 */
public record SliceGrant(MemberId owner, long epoch, GrantOrigin origin) {

    /** The grant of a slice that was never owned. */
    public static final SliceGrant VACANT = new SliceGrant(MemberId.NONE, 0, GrantOrigin.CLAIMED);

    /** Checks the components. */
    public SliceGrant {
        Objects.requireNonNull(owner, "owner");
        Checks.notNegative("epoch", epoch);
        Objects.requireNonNull(origin, "origin");
    }

    /**
     * Returns the grant that gives the slice to its next owner.
     *
     * @param next the next owner, or {@link MemberId#NONE} to give up the slice without one
     * @param nextOrigin how the next owner gets the slice
     * @return a grant whose epoch is one higher
     */
    public SliceGrant grantedTo(MemberId next, GrantOrigin nextOrigin) {
        return new SliceGrant(next, epoch + 1, nextOrigin);
    }
}
