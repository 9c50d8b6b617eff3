package org.verbenamast.core.lease;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.node.Timing;

/**
 * The durations of leases, all in nanoseconds.
 *
 * @param promise how long a lease peer vouches, by its own clock
 * @param held how long a holder counts on that, by its own clock from when it sent the request
 * @param askEvery how often a holder asks its lease peers
 * @param standing how long after its own lease lapsed, or after the table service showed its row, a member may vouch
 * @param rankStep by how much each lease peer waits longer than the one before it until it takes over
 * @param sealEvery how often a take-over asks again for seals, and retries the table service
 * @param patience how long a lapsed holder asks in vain before it is silent, so that others can take over
 * @param quiet how long it is silent
 */
public record LeaseTimings(
        long promise,
        long held,
        long askEvery,
        long standing,
        long rankStep,
        long sealEvery,
        long patience,
        long quiet) {

    private static final long STANDING_LEASES = 2;
    private static final long PATIENCE_LEASES = 2;
    private static final long QUIET_LEASES = 3;
    private static final long RANK_STEPS_PER_LEASE = 5;
    private static final long SEAL_ROUNDS_PER_LEASE = 10;

    /** Checks that each duration is positive. */
    public LeaseTimings {
        Checks.positive("promise", promise);
        Checks.positive("held", held);
        Checks.positive("askEvery", askEvery);
        Checks.positive("standing", standing);
        Checks.positive("rankStep", rankStep);
        Checks.positive("sealEvery", sealEvery);
        Checks.positive("patience", patience);
        Checks.positive("quiet", quiet);
    }

    /**
     * Derives the durations from a node's settings.
     *
     * @param timing the durations of the node's protocols
     * @return the durations of leases
     */
    public static LeaseTimings of(Timing timing) {
        long promise = Timing.millisToNanos(timing.leaseMillis());
        return new LeaseTimings(
                promise,
                ClockDrift.shortened(promise),
                Timing.millisToNanos(timing.vouchEveryMillis()),
                STANDING_LEASES * promise,
                promise / RANK_STEPS_PER_LEASE,
                promise / SEAL_ROUNDS_PER_LEASE,
                PATIENCE_LEASES * promise,
                QUIET_LEASES * promise);
    }

    /**
     * Returns the silence after which a lease peer lets others seal a holder.
     *
     * @return half a promise, in nanoseconds
     */
    public long silenceForSeal() {
        return promise / 2;
    }

    /**
     * Returns the longest time for which what a member vouched for may hold after its incarnation has ended in the
     * table service, by another member's clock.
     *
     * @return the duration in nanoseconds
     */
    public long afterEnd() {
        return ClockDrift.lengthened(standing + promise);
    }
}
