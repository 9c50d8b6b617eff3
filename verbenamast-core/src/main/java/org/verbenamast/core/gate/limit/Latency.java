package org.verbenamast.core.gate.limit;

/**
 * The usual latency of a backend server: a moving average in which a slow request counts far less than others, so that
 * a slowdown does not raise the threshold that detects it.
 *
 * @param meanNanos the moving average in nanoseconds, or 0 before the first request
 * @param slowFactor the multiple of the average above which a request counts as slow
 * @param slowFloorNanos the lowest threshold for slow requests, in nanoseconds
 */
public record Latency(long meanNanos, int slowFactor, long slowFloorNanos) {

    private static final int MEAN_WEIGHT_SHIFT = 4;
    private static final int SLOW_WEIGHT_SHIFT = 8;

    /**
     * Returns whether a latency is above the threshold for slow requests.
     *
     * @param nanos the latency so far, in nanoseconds
     * @return whether it is slow; always false before the first request has ended
     */
    public boolean isSlow(long nanos) {
        return meanNanos > 0 && nanos > slowThresholdNanos();
    }

    /**
     * Returns the latency above which a request counts as slow.
     *
     * @return the latency in nanoseconds
     */
    public long slowThresholdNanos() {
        return Math.max(slowFloorNanos, meanNanos * slowFactor);
    }

    /**
     * Returns the moving average with the latency of one more request.
     *
     * @param nanos the latency of the request, in nanoseconds
     * @return the updated average
     */
    public Latency withSample(long nanos) {
        if (meanNanos == 0) {
            return new Latency(nanos, slowFactor, slowFloorNanos);
        }
        int shift = isSlow(nanos) ? SLOW_WEIGHT_SHIFT : MEAN_WEIGHT_SHIFT;
        return new Latency(meanNanos + ((nanos - meanNanos) >> shift), slowFactor, slowFloorNanos);
    }
}
