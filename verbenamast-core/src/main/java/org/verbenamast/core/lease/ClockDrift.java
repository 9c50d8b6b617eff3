package org.verbenamast.core.lease;

/**
 * The assumed bound on the drift of the members' monotonic clocks, and the durations that follow from it.
 *
 * <p>Each clock is assumed to run at between 99% and 101% of real time. A lease holder shortens its lease, and a
 * take-over lengthens its wait, by the greatest possible difference between two such clocks.
 */
public final class ClockDrift {

    /** The greatest deviation of a clock's rate from real time, in percent. */
    public static final long BOUND_PERCENT = 1;

    private static final long REAL_TIME_PERCENT = 100;
    private static final long SLOWEST_RATE_PERCENT = REAL_TIME_PERCENT - BOUND_PERCENT;
    private static final long FASTEST_RATE_PERCENT = REAL_TIME_PERCENT + BOUND_PERCENT;

    private ClockDrift() {}

    /**
     * Returns how long a lease holder may rely on a lease that the grantor measures by its own clock.
     *
     * @param leaseNanos the lease duration by the grantor's clock, in nanoseconds
     * @return the duration by the lease holder's clock, in nanoseconds
     */
    public static long safeHoldNanos(long leaseNanos) {
        return leaseNanos * SLOWEST_RATE_PERCENT / FASTEST_RATE_PERCENT;
    }

    /**
     * Returns how long to wait until a lease that the grantor measures by its own clock has certainly expired.
     *
     * @param leaseNanos the remaining lease duration by the grantor's clock, in nanoseconds
     * @return the wait by this node's clock, in nanoseconds
     */
    public static long safeWaitNanos(long leaseNanos) {
        return leaseNanos * FASTEST_RATE_PERCENT / SLOWEST_RATE_PERCENT + 1;
    }
}
