package org.verbenamast.core.watch;

import java.util.List;
import java.util.Objects;
import java.util.function.DoubleSupplier;

/**
 * The state of a followed table. A time of 0 means never.
 *
 * @param table the table
 * @param random returns uniformly distributed numbers from 0 (inclusive) to 1 (exclusive)
 * @param copy how much of the table this node holds
 * @param wanted the version of the newest row that another node is known to have
 * @param provenAt the monotonic time as of which the store confirmed, to this node or another one, that it has nothing
 *     newer, in nanoseconds
 * @param resumeAt the monotonic time at which to make the next call after a change, in nanoseconds
 * @param calls the calls to the store
 */
public record FollowData(
        FollowedTable table,
        DoubleSupplier random,
        TableCopy copy,
        long wanted,
        long provenAt,
        long resumeAt,
        FollowCalls calls) {

    /** Checks that the table, the random source, the copy and the calls are present. */
    public FollowData {
        Objects.requireNonNull(table, "table");
        Objects.requireNonNull(random, "random");
        Objects.requireNonNull(copy, "copy");
        Objects.requireNonNull(calls, "calls");
    }

    static FollowData initial(FollowedTable table, DoubleSupplier random) {
        return new FollowData(table, random, TableCopy.EMPTY, 0, 0, 0, FollowCalls.NONE);
    }

    FollowData with(FollowCalls next) {
        return new FollowData(table, random, copy, wanted, provenAt, resumeAt, next);
    }

    FollowData with(TableCopy next) {
        return new FollowData(table, random, next, wanted, Math.max(provenAt, next.asOf()), resumeAt, calls);
    }

    FollowData withCall(FollowCall call) {
        return with(calls.with(call));
    }

    FollowData withoutCalls(List<FollowCall> ended) {
        return with(calls.without(ended));
    }

    FollowData withAnswer(FollowInput answer, long now) {
        FollowCall call = calls.find(answer.callId()).orElseThrow();
        return with(copy.withAnswer(answer, call, now)).with(calls.withAnswer(call));
    }

    FollowData withResumeAt(long at) {
        return new FollowData(table, random, copy, wanted, provenAt, at, calls);
    }

    FollowData withReceivedRow(long rowVersion) {
        return with(copy.withReceivedRow(rowVersion));
    }

    FollowData withWantedRow(long rowVersion) {
        return new FollowData(table, random, copy, Math.max(wanted, rowVersion), provenAt, resumeAt, calls);
    }

    FollowData withProof(long at) {
        return new FollowData(table, random, copy, wanted, Math.max(provenAt, at), resumeAt, calls);
    }

    boolean isBehind() {
        return !copy.holds(wanted);
    }

    /**
     * Returns the time between an answer with rows and the next call, in nanoseconds: at least as long as the answer
     * was arriving, so that answers leave the link to requests for half of the time.
     */
    long pauseNanos(long now) {
        return Math.max(table.batchDelayNanos(), Math.min(table.maxPauseNanos(), calls.transferNanos(now)));
    }

    /**
     * Returns when a pending call is considered lost, in nanoseconds. An answer from the store to any node postpones
     * it.
     */
    long silenceDueAt() {
        return Math.max(calls.lastSentAt(), provenAt) + table.silenceTimeoutNanos();
    }
}
