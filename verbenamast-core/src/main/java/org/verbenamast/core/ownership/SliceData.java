package org.verbenamast.core.ownership;

import java.util.Objects;

import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.SliceId;

/**
 * The data of a slice that this node owns.
 *
 * @param slice the slice
 * @param grant the grant under which the node owns it
 * @param running how many requests for the slice the backend server has
 * @param target the member that the slice is to move to, or {@link MemberId#NONE}
 * @param settleNanos how long requests of an earlier owner may still run, in nanoseconds
 */
public record SliceData(SliceId slice, SliceGrant grant, int running, MemberId target, long settleNanos) {

    /** Checks the parts. */
    public SliceData {
        Objects.requireNonNull(slice, "slice");
        Objects.requireNonNull(grant, "grant");
        Objects.requireNonNull(target, "target");
    }

    /**
     * Returns this data with another count of running requests.
     *
     * @param next the count
     * @return the changed data
     */
    public SliceData withRunning(int next) {
        return new SliceData(slice, grant, next, target, settleNanos);
    }

    /**
     * Returns this data with another target.
     *
     * @param next the member that the slice is to move to
     * @return the changed data
     */
    public SliceData withTarget(MemberId next) {
        return new SliceData(slice, grant, running, next, settleNanos);
    }
}
