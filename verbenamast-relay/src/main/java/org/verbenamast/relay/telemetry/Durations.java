package org.verbenamast.relay.telemetry;

import java.util.Arrays;

/** A histogram of request durations. */
final class Durations {

    /** The buckets' upper bounds, in seconds; finer around the latency objectives of the deployments, 0.1 to 0.6 s. */
    private static final double[] BOUNDS_SECONDS = {
        0.01, 0.03, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 1, 2, 5, Double.POSITIVE_INFINITY
    };

    private static final double NANOS_PER_SECOND = 1e9;

    private final long[] bucketCounts = new long[BOUNDS_SECONDS.length];
    private double sumSeconds;

    void recordDuration(long nanos) {
        double seconds = nanos / NANOS_PER_SECOND;
        int bucket = 0;
        while (seconds > BOUNDS_SECONDS[bucket]) {
            bucket++;
        }
        bucketCounts[bucket]++;
        sumSeconds += seconds;
    }

    static double[] boundsSeconds() {
        return BOUNDS_SECONDS.clone();
    }

    Number[] bucketCounts() {
        return Arrays.stream(bucketCounts).boxed().toArray(Number[]::new);
    }

    double sumSeconds() {
        return sumSeconds;
    }
}
