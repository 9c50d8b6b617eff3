package org.verbenamast.core.lease;

/**
 * The bound on how much the monotonic clocks of members may differ in rate, and the durations that follow from it.
 *
 * <p>Each clock is assumed to run between 99% and 101% of real time. A holder counts its lease shorter, and a take-over
 * waits longer, by the most that two such clocks can differ.
 */
public final class ClockDrift {

    /** The greatest deviation of a clock's rate from real time, in percent. */
    public static final long BOUND_PERCENT = 1;

    private static final long WHOLE_PERCENT = 100;
    private static final long SLOWEST_PERCENT = WHOLE_PERCENT - BOUND_PERCENT;
    private static final long FASTEST_PERCENT = WHOLE_PERCENT + BOUND_PERCENT;

    private ClockDrift() {}

    /**
     * Returns how long a holder may count on a promise whose length another clock measures.
     *
     * @param promisedNanos the length of the promise by the voucher's clock, in nanoseconds
     * @return the length by the holder's clock, in nanoseconds
     */
    public static long shortened(long promisedNanos) {
        return promisedNanos * SLOWEST_PERCENT / FASTEST_PERCENT;
    }

    /**
     * Returns how long to wait until a promise that another clock measures has run out.
     *
     * @param promisedNanos the rest of the promise by the voucher's clock, in nanoseconds
     * @return the wait by the own clock, in nanoseconds
     */
    public static long lengthened(long promisedNanos) {
        return promisedNanos * FASTEST_PERCENT / SLOWEST_PERCENT + 1;
    }
}
