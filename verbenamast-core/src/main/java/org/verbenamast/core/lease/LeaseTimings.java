package org.verbenamast.core.lease;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.node.Timing;

/**
 * The durations of leases, all in nanoseconds.
 *
 * @param leaseDuration how long a granted lease lasts, by the grantor's clock
 * @param heldDuration how long a holder relies on a granted lease, by its own clock from when it sent the request
 * @param renewalInterval the interval at which a holder requests leases from its lease peers
 * @param grantingGrace how long a member may grant leases after its own lease lapsed or the table service returned its
 *     row
 * @param rankDelay how much longer each lease peer waits than the one before it in the list before it takes over
 * @param sealInterval the interval at which a take-over repeats its requests to lease peers and to the table service
 * @param renewalTimeout how long a holder whose lease has lapsed keeps requesting leases without a majority
 * @param quietPeriod how long it then requests no leases, so that others can take over
 */
public record LeaseTimings(
        long leaseDuration,
        long heldDuration,
        long renewalInterval,
        long grantingGrace,
        long rankDelay,
        long sealInterval,
        long renewalTimeout,
        long quietPeriod) {

    private static final long GRANTING_GRACE_LEASES = 2;
    private static final long RENEWAL_TIMEOUT_LEASES = 2;
    private static final long QUIET_PERIOD_LEASES = 3;
    private static final long RANK_DELAYS_PER_LEASE = 5;
    private static final long SEAL_INTERVALS_PER_LEASE = 10;

    /** Checks that each duration is positive. */
    public LeaseTimings {
        Checks.positive("leaseDuration", leaseDuration);
        Checks.positive("heldDuration", heldDuration);
        Checks.positive("renewalInterval", renewalInterval);
        Checks.positive("grantingGrace", grantingGrace);
        Checks.positive("rankDelay", rankDelay);
        Checks.positive("sealInterval", sealInterval);
        Checks.positive("renewalTimeout", renewalTimeout);
        Checks.positive("quietPeriod", quietPeriod);
    }

    /**
     * Derives the durations from a node's settings.
     *
     * @param timing the durations of the node's protocols
     * @return the durations of leases, in nanoseconds
     */
    public static LeaseTimings of(Timing timing) {
        long lease = Timing.millisToNanos(timing.leaseMillis());
        return new LeaseTimings(
                lease,
                ClockDrift.safeHoldNanos(lease),
                Timing.millisToNanos(timing.vouchEveryMillis()),
                GRANTING_GRACE_LEASES * lease,
                lease / RANK_DELAYS_PER_LEASE,
                lease / SEAL_INTERVALS_PER_LEASE,
                RENEWAL_TIMEOUT_LEASES * lease,
                QUIET_PERIOD_LEASES * lease);
    }

    /**
     * Returns how long ago a lease peer must have last granted a holder a lease before it accepts a request to seal it.
     *
     * @return half a lease duration, in nanoseconds
     */
    public long minSilenceBeforeSeal() {
        return leaseDuration / 2;
    }

    /**
     * Returns for how long after the end of a member's incarnation in the table service a lease that the member granted
     * may remain in force, by another member's clock.
     *
     * @return the duration in nanoseconds
     */
    public long longestGrantAfterEnd() {
        return ClockDrift.safeWaitNanos(grantingGrace + leaseDuration);
    }
}
