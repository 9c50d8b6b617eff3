package org.verbenamast.core.watch;

import org.verbenamast.core.node.Timing;

/** The tables of the store that every node follows. */
public enum FollowedTable {
    /**
     * The operators' rows: the manifest and the evacuated availability zones. If the store has answered no node within
     * the silence time-out, the call may have been lost in the network and is repeated. Even after the maximum retry
     * delay that is within the 3 s from which on the platform counts a node as in contact. The waits are random, so
     * that at any time some node has a recent answer. The maximum wait stays within the 20 s of the store's history.
     */
    OPERATORS(500, 12_000, 0, 2_200),
    /**
     * The nodes' rows: members and owners of keys. Nodes also send these rows to each other directly, and a node that
     * lacks a new owner learns of it with the next request. Following the table only finds rows that were not received
     * that way.
     */
    SHARED(10_000, 10_000, 5_000, 10_500);

    /**
     * Maximum delay of a call by the time that an answer took to arrive; a fifth of the time within which a new
     * manifest has to be in force.
     */
    private static final long MAX_PAUSE_NANOS = Timing.millisToNanos(500);

    private final long minWaitMillis;
    private final long maxWaitMillis;
    private final long batchDelayMillis;
    private final long silenceTimeoutMillis;

    FollowedTable(long minWaitMillis, long maxWaitMillis, long batchDelayMillis, long silenceTimeoutMillis) {
        this.minWaitMillis = minWaitMillis;
        this.maxWaitMillis = maxWaitMillis;
        this.batchDelayMillis = batchDelayMillis;
        this.silenceTimeoutMillis = silenceTimeoutMillis;
    }

    /** Returns how long a call may stay pending while the store answers no node, in nanoseconds. */
    long silenceTimeoutNanos() {
        return Timing.millisToNanos(silenceTimeoutMillis);
    }

    /** Returns the wait of a call for a change, in milliseconds, at a fraction from 0 to 1 of its range. */
    long waitMillis(double fraction) {
        return minWaitMillis + (long) (fraction * (maxWaitMillis - minWaitMillis));
    }

    /** Returns the delay between a change and the next call, in nanoseconds. */
    long batchDelayNanos() {
        return Timing.millisToNanos(batchDelayMillis);
    }

    /** Returns by how much the time that an answer took to arrive may delay the next call, in nanoseconds. */
    long maxPauseNanos() {
        return MAX_PAUSE_NANOS;
    }

    /**
     * Returns the delay between a change and the next call, so that changes in quick succession cost one call.
     *
     * @return the delay, in milliseconds; 0 where only the time that answers take delays calls
     */
    public long batchDelayMillis() {
        return batchDelayMillis;
    }
}
