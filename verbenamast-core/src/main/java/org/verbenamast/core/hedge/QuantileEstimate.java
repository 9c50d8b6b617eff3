package org.verbenamast.core.hedge;

/**
 * Estimates a quantile of a stream of durations. Each duration moves the estimate by a fraction of its current value,
 * so no samples are kept.
 */
public final class QuantileEstimate {

    private static final double STEP_FRACTION = 0.05;

    private final double quantile;
    private double estimate;

    /**
     * Creates an estimate without durations.
     *
     * @param quantile the quantile to estimate, between 0 and 1
     */
    public QuantileEstimate(double quantile) {
        this.quantile = quantile;
    }

    /**
     * Adds a duration to the estimate.
     *
     * @param nanos the duration in nanoseconds
     */
    public void add(long nanos) {
        if (estimate == 0) {
            estimate = nanos;
            return;
        }
        double step = estimate * STEP_FRACTION;
        estimate += nanos > estimate ? step * quantile : -step * (1 - quantile);
    }

    /**
     * Returns the current estimate of the quantile.
     *
     * @return the estimate in nanoseconds, or 0 if no duration was added
     */
    public long nanos() {
        return (long) estimate;
    }
}
