package org.verbenamast.core.ownership;

import java.time.Duration;

/** The request rate of one slice: an exponentially decaying average with a time constant of 10 seconds. */
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

    /** Returns the average rate, in requests a second. */
    double perSecond(long now) {
        decay(now);
        return weightedRequests / TIME_CONSTANT_SECONDS;
    }

    /** Returns the time since the measurement started, in nanoseconds. */
    long age(long now) {
        return now - startedAt;
    }

    private void decay(long now) {
        weightedRequests *= Math.exp((decayedAt - now) / TIME_CONSTANT_NANOS);
        decayedAt = now;
    }
}
