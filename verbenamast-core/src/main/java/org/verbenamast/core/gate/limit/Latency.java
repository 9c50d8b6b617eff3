package org.verbenamast.core.gate.limit;

/**
 * The usual latency of a backend server: a moving mean that slow requests hardly move.
 *
 * @param meanNanos the mean in nanoseconds, or 0 before the first request
 * @param slowFactor how many times the mean counts as slow
 * @param slowFloorNanos the least latency that counts as slow, in nanoseconds
 */
public record Latency(long meanNanos, int slowFactor, long slowFloorNanos) {

    private static final int WEIGHT_SHIFT = 4;
    private static final int SLOW_WEIGHT_SHIFT = 8;

    /**
     * Tells whether a request lasts much longer than usual.
     *
     * @param nanos how long it has lasted, in nanoseconds
     * @return whether that is slow; never before the first request ended
     */
    public boolean slow(long nanos) {
        return meanNanos > 0 && nanos > slowNanos();
    }

    /**
     * Returns the latency above which a request counts as slow.
     *
     * @return the latency in nanoseconds
     */
    public long slowNanos() {
        return Math.max(slowFloorNanos, meanNanos * slowFactor);
    }

    /**
     * Learns from a request that ended.
     *
     * @param nanos how long it lasted, in nanoseconds
     * @return the changed mean
     */
    public Latency after(long nanos) {
        if (meanNanos == 0) {
            return new Latency(nanos, slowFactor, slowFloorNanos);
        }
        int shift = slow(nanos) ? SLOW_WEIGHT_SHIFT : WEIGHT_SHIFT;
        return new Latency(meanNanos + ((nanos - meanNanos) >> shift), slowFactor, slowFloorNanos);
    }
}
