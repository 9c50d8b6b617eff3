package org.verbenamast.core.ownership;

import java.util.Objects;

import org.verbenamast.core.model.SliceId;

/**
 * The data that the chart keeps for a slice that this node owns.
 *
 * @param slice the slice
 * @param grant the grant under which the node owns it
 * @param runningRequests the number of requests for the slice that the backend server has
 * @param move the planned move, or {@link SliceMove#NONE}
 * @param settleNanos how long requests of the previous owner may still run after the grant, in nanoseconds
 */
public record SliceData(SliceId slice, SliceGrant grant, int runningRequests, SliceMove move, long settleNanos) {

    /** Checks that the slice, the grant and the move are present. */
    public SliceData {
        Objects.requireNonNull(slice, "slice");
        Objects.requireNonNull(grant, "grant");
        Objects.requireNonNull(move, "move");
    }

    /**
     * Returns a copy with another number of running requests.
     *
     * @param next the new number
     * @return the changed data
     */
    public SliceData withRunningRequests(int next) {
        return new SliceData(slice, grant, next, move, settleNanos);
    }

    /**
     * Returns a copy with another planned move.
     *
     * @param next the new move, or {@link SliceMove#NONE}
     * @return the changed data
     */
    public SliceData withMove(SliceMove next) {
        return new SliceData(slice, grant, runningRequests, next, settleNanos);
    }
}
