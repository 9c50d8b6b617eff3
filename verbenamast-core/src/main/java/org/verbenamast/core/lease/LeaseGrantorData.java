package org.verbenamast.core.lease;

import java.util.Objects;

import org.verbenamast.core.model.MemberId;

/**
 * The data of the promise that this node makes a holder. All times are by the own monotonic clock, in nanoseconds.
 *
 * @param holder the incarnation that holds the lease
 * @param askedAt when the holder was last granted what it asked, or when this node began to wait for it
 * @param promisedUntil until when this node vouches
 * @param desk answers the requests
 */
public record LeaseGrantorData(MemberId holder, long askedAt, long promisedUntil, LeaseGrantorController desk) {

    /** Checks the parts. */
    public LeaseGrantorData {
        Objects.requireNonNull(holder, "holder");
        Objects.requireNonNull(desk, "desk");
    }

    LeaseGrantorData promised(long now) {
        return new LeaseGrantorData(holder, now, now + desk.terms().promise(), desk);
    }

    long remaining(long now) {
        return Math.max(0, promisedUntil - now);
    }
}
