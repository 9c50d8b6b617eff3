package org.verbenamast.core.lease;

import java.util.Objects;

import org.verbenamast.core.model.MemberId;

/**
 * The data of the lease that this node grants a lease holder. All times are by this node's monotonic clock, in
 * nanoseconds.
 *
 * @param holder the incarnation that holds the lease
 * @param lastGrantAt when this node last granted the holder a lease, or when it began to watch the holder
 * @param grantedUntil when the granted lease expires
 * @param controller the grantor's controller
 */
public record LeaseGrantorData(
        MemberId holder, long lastGrantAt, long grantedUntil, LeaseGrantorController controller) {

    /** Checks that the references are not null. */
    public LeaseGrantorData {
        Objects.requireNonNull(holder, "holder");
        Objects.requireNonNull(controller, "controller");
    }

    LeaseGrantorData withGrant(long now) {
        return new LeaseGrantorData(holder, now, now + controller.timings().leaseDuration(), controller);
    }

    long remainingNanos(long now) {
        return Math.max(0, grantedUntil - now);
    }
}
