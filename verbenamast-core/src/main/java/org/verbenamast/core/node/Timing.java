package org.verbenamast.core.node;

import org.verbenamast.core.check.Checks;

/**
 * The durations of the node's protocols.
 *
 * @param leaseMillis how long a lease peer vouches, in milliseconds
 * @param vouchEveryMillis how often a node asks its lease peers, in milliseconds
 * @param gossipEveryMillis how often a node offers a digest of its rows, in milliseconds
 * @param reviewEveryMillis how often a node reviews the owners of slices, in milliseconds
 * @param storeTimeoutMillis how long a node waits for the table service, in milliseconds
 * @param retryMillis the pause before a request is routed again, in milliseconds
 * @param longestRequestMillis the longest deadline that a request may have, in milliseconds
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

    /** Durations that serve a key again within four seconds of a loss. */
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
     * Returns by how much a timer may be late before the node takes itself for paused.
     *
     * @return a third of a lease, in milliseconds
     */
    public long suspensionThresholdMillis() {
        return leaseMillis / SUSPENSION_THRESHOLDS_PER_LEASE;
    }

    /**
     * Converts milliseconds.
     *
     * @param millis a duration in milliseconds
     * @return the duration in nanoseconds
     */
    public static long millisToNanos(long millis) {
        return millis * NANOS_PER_MILLI;
    }
}
