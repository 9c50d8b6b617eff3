package org.verbenamast.core.ownership;

import java.time.Duration;

/** The request rate of one slice, in which earlier requests count for less and less. */
final class SliceRate {

    private static final double MEMORY_NANOS = Duration.ofSeconds(10).toNanos();
    private static final double MEMORY_SECONDS = 10;

    private final long since;
    private long at;
    private double requests;

    SliceRate(long now) {
        this.since = now;
        this.at = now;
    }

    void count(long now) {
        decay(now);
        requests++;
    }

    /** Returns the rate in requests a second. */
    double perSecond(long now) {
        decay(now);
        return requests / MEMORY_SECONDS;
    }

    /** Returns for how long the rate has been measured, in nanoseconds. */
    long age(long now) {
        return now - since;
    }

    private void decay(long now) {
        requests *= Math.exp((at - now) / MEMORY_NANOS);
        at = now;
    }
}
