package org.verbenamast.core.ownership;

import java.time.Duration;

/** The request rate of one slice, in which earlier requests count for less and less. */
final class SliceRate {

    private static final double TIME_CONSTANT_NANOS = Duration.ofSeconds(10).toNanos();
    private static final double TIME_CONSTANT_SECONDS = 10;

    private final long startedAt;
    private long decayedAt;
    private double weightedRequests;

    SliceRate(long now) {
        this.startedAt = now;
        this.decayedAt = now;
    }

    void recordRequest(long now) {
        decay(now);
        weightedRequests++;
    }

    /** Returns the rate in requests a second. */
    double perSecond(long now) {
        decay(now);
        return weightedRequests / TIME_CONSTANT_SECONDS;
    }

    /** Returns for how long the rate has been measured, in nanoseconds. */
    long age(long now) {
        return now - startedAt;
    }

    private void decay(long now) {
        weightedRequests *= Math.exp((decayedAt - now) / TIME_CONSTANT_NANOS);
        decayedAt = now;
    }
}
