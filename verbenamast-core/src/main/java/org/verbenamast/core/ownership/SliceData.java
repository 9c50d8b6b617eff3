package org.verbenamast.core.ownership;

import java.util.Objects;

import org.verbenamast.core.model.SliceId;

/**
 * The data of a slice that this node owns.
 *
 * @param slice the slice
 * @param grant the grant under which the node owns it
 * @param runningRequests how many requests for the slice the backend server has
 * @param move where the slice is to move, or {@link SliceMove#NONE}
 * @param settleNanos how long requests of an earlier owner may still run, in nanoseconds
 */
public record SliceData(SliceId slice, SliceGrant grant, int runningRequests, SliceMove move, long settleNanos) {

    /** Checks the parts. */
    public SliceData {
        Objects.requireNonNull(slice, "slice");
        Objects.requireNonNull(grant, "grant");
        Objects.requireNonNull(move, "move");
    }

    /**
     * Returns this data with another count of running requests.
     *
     * @param next the count
     * @return the changed data
     */
    public SliceData withRunningRequests(int next) {
        return new SliceData(slice, grant, next, move, settleNanos);
    }

    /**
     * Returns this data with another move.
     *
     * @param next where the slice is to move
     * @return the changed data
     */
    public SliceData withMove(SliceMove next) {
        return new SliceData(slice, grant, runningRequests, next, settleNanos);
    }
}
