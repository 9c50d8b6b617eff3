package org.verbenamast.core.gate.runs;

import org.verbenamast.core.check.Checks;

/**
 * The bounds of the records of runs.
 *
 * @param windowMillis how long after a run its answer is kept, and how long a take-over stays in doubt, in milliseconds
 * @param memoryMillis how long after the window it is known that the request ran, in milliseconds
 * @param patienceMillis how long an earlier owner's records are awaited, in milliseconds
 * @param maxRuns the number of runs that are kept
 * @param maxAnswerBytes the longest answer that is kept, in bytes
 * @param maxTotalBytes the bytes of all answers that are kept
 */
public record RunLimits(
        long windowMillis,
        long memoryMillis,
        long patienceMillis,
        int maxRuns,
        int maxAnswerBytes,
        long maxTotalBytes) {

    /** Bounds that keep a node's records within about 48 megabytes. */
    public static final RunLimits DEFAULT = new RunLimits(60_000, 540_000, 1_000, 131_072, 16 << 10, 16 << 20);

    /** Checks that each bound is positive. */
    public RunLimits {
        Checks.positive("windowMillis", windowMillis);
        Checks.positive("memoryMillis", memoryMillis);
        Checks.positive("patienceMillis", patienceMillis);
        Checks.positive("maxRuns", maxRuns);
        Checks.positive("maxAnswerBytes", maxAnswerBytes);
        Checks.positive("maxTotalBytes", maxTotalBytes);
    }
}
