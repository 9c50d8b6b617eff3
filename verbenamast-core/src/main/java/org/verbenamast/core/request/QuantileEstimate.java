package org.verbenamast.core.request;

/** Follows a quantile of a stream of durations with a single number. */
public final class QuantileEstimate {

    private static final double STEP_FRACTION = 0.05;

    private final double quantile;
    private double estimate;

    /**
     * Makes an estimate that has seen nothing.
     *
     * @param quantile the quantile, between 0 and 1
     */
    public QuantileEstimate(double quantile) {
        this.quantile = quantile;
    }

    /**
     * Learns a duration.
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
     * Returns the estimate.
     *
     * @return the duration in nanoseconds, or 0 before the first one
     */
    public long nanos() {
        return (long) estimate;
    }
}
