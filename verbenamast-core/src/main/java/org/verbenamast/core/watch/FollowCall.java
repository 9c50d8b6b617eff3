package org.verbenamast.core.watch;

import org.verbenamast.core.check.Checks;

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
}
