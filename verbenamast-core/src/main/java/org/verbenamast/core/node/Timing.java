package org.verbenamast.core.node;

import org.verbenamast.core.check.Checks;

/**
 * The durations and intervals of the protocols between the nodes and with the table service.
 *
 * @param leaseMillis the duration for which a lease peer grants a lease, in milliseconds
 * @param vouchEveryMillis the interval at which a node requests leases from its lease peers, in milliseconds
 * @param gossipEveryMillis the interval at which a node offers a digest of its rows, in milliseconds
 * @param reviewEveryMillis the interval at which a node reviews the owners of slices, in milliseconds
 * @param storeTimeoutMillis the timeout of a call to the table service, in milliseconds
 * @param retryMillis the delay before a request is routed again, in milliseconds
 * @param longestRequestMillis the maximum time from the arrival of a request to its deadline, in milliseconds
 */
public record Timing(
        long leaseMillis,
        long vouchEveryMillis,
        long gossipEveryMillis,
        long reviewEveryMillis,
        long storeTimeoutMillis,
        long retryMillis,
        long longestRequestMillis) {

    /** The number of nanoseconds in a millisecond. */
    public static final long NANOS_PER_MILLI = 1_000_000L;

    /** Durations with which a key is served again within four seconds of the loss of its owner. */
    public static final Timing DEFAULT = new Timing(1_500, 400, 500, 100, 1_000, 10, 10_000);

    private static final long SUSPENSION_THRESHOLDS_PER_LEASE = 3;

    /** Checks that each duration is positive. */
    public Timing {
        Checks.positive("leaseMillis", leaseMillis);
        Checks.positive("vouchEveryMillis", vouchEveryMillis);
        Checks.positive("gossipEveryMillis", gossipEveryMillis);
        Checks.positive("reviewEveryMillis", reviewEveryMillis);
        Checks.positive("storeTimeoutMillis", storeTimeoutMillis);
        Checks.positive("retryMillis", retryMillis);
        Checks.positive("longestRequestMillis", longestRequestMillis);
    }

    /**
     * Returns the delay of a timer above which the node assumes that its process was suspended.
     *
     * @return a third of a lease, in milliseconds
     */
    public long suspensionThresholdMillis() {
        return leaseMillis / SUSPENSION_THRESHOLDS_PER_LEASE;
    }

    /**
     * Converts a duration from milliseconds to nanoseconds.
     *
     * @param millis a duration in milliseconds
     * @return the duration in nanoseconds
     */
    public static long millisToNanos(long millis) {
        return millis * NANOS_PER_MILLI;
    }
}
