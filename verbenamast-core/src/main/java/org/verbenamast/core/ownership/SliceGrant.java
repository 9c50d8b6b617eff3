package org.verbenamast.core.ownership;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.MemberId;

/**
 * Who owns one slice.
 *
 * @param owner the owner, or {@link MemberId#NONE}
 * @param epoch a number that grows with each change of owner; 0 for a slice never owned
 * @param origin how the owner came by the slice
 */
public record SliceGrant(MemberId owner, long epoch, GrantOrigin origin) {

    /** A slice that was never owned. */
    public static final SliceGrant VACANT = new SliceGrant(MemberId.NONE, 0, GrantOrigin.CLAIMED);

    /** Checks the parts. */
    public SliceGrant {
        Objects.requireNonNull(owner, "owner");
        Checks.notNegative("epoch", epoch);
        Objects.requireNonNull(origin, "origin");
    }

    /**
     * Returns the grant of the next owner.
     *
     * @param next the next owner
     * @param how how it comes by the slice
     * @return a grant with the next epoch
     */
    public SliceGrant grantedTo(MemberId next, GrantOrigin how) {
        return new SliceGrant(next, epoch + 1, how);
    }
}
