package org.verbenamast.core.watch;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.node.Timing;

/**
 * A call to the store that has not ended.
 *
 * @param id the number of the call
 * @param sentAt the monotonic time when the call was made, in nanoseconds
 * @param waitMillis how long the store may wait for a change, in milliseconds; 0 for a read of all rows
 */
public record FollowCall(long id, long sentAt, long waitMillis) {

    /** Checks that the wait is not negative. */
    public FollowCall {
        Checks.notNegative("waitMillis", waitMillis);
    }

    boolean waitsForChanges() {
        return waitMillis > 0;
    }

    /**
     * Returns a time as of which an answer to this call is true, in nanoseconds. How long the answer was on its way is
     * not known, nor how long this node took to read it.
     *
     * @param empty whether the answer contains no rows, as at the end of the wait
     * @param now the monotonic time, in nanoseconds
     */
    long trueAt(boolean empty, long now) {
        long waitEndsAt = sentAt + Timing.millisToNanos(waitMillis);
        return empty && now >= waitEndsAt ? waitEndsAt : sentAt;
    }
}
