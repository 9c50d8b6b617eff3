package org.verbenamast.core.gate.runs;

import org.verbenamast.core.check.Checks;

/**
 * The limits of the run records.
 *
 * @param resendWindowMillis how long after a run its answer is kept, and how long after a take-over earlier runs stay
 *     uncertain, in milliseconds
 * @param recordRetentionMillis how long after the resend window the record without its answer is kept, in milliseconds
 * @param recordsTimeoutMillis the timeout for an earlier owner's records, in milliseconds
 * @param maxRuns the maximum number of run records
 * @param maxAnswerBytes the size of the largest answer that is kept, in bytes
 * @param maxTotalBytes the maximum total size of the kept answers, in bytes
 */
public record RunLimits(
        long resendWindowMillis,
        long recordRetentionMillis,
        long recordsTimeoutMillis,
        int maxRuns,
        int maxAnswerBytes,
        long maxTotalBytes) {

    /** The default limits, which bound the records of a node to about 48 megabytes. */
    public static final RunLimits DEFAULT = new RunLimits(60_000, 540_000, 1_000, 131_072, 16 << 10, 16 << 20);

    /** Checks that each limit is positive. */
    public RunLimits {
        Checks.positive("resendWindowMillis", resendWindowMillis);
        Checks.positive("recordRetentionMillis", recordRetentionMillis);
        Checks.positive("recordsTimeoutMillis", recordsTimeoutMillis);
        Checks.positive("maxRuns", maxRuns);
        Checks.positive("maxAnswerBytes", maxAnswerBytes);
        Checks.positive("maxTotalBytes", maxTotalBytes);
    }
}
