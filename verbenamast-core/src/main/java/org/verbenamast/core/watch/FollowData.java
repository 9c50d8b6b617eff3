package org.verbenamast.core.watch;

import java.util.Objects;
import java.util.function.DoubleSupplier;

/**
 * The state of a followed table. A time of 0 means never.
 *
 * @param table the table
 * @param random returns uniformly distributed numbers from 0 (inclusive) to 1 (exclusive)
 * @param version the store's version up to which this node knows all changes
 * @param latest the version of the newest known row of the kind that nodes send each other
 * @param wanted the version of the newest row that another node is known to have
 * @param calledAt the monotonic time of the last call, in nanoseconds
 * @param answeredAt the monotonic time when the store last answered this node, in nanoseconds
 * @param provenAt the monotonic time when the store last confirmed, to this node or another one, that it has nothing
 *     newer, in nanoseconds
 * @param resumeAt the monotonic time at which to make the next call after a change, in nanoseconds
 * @param callId the number of the last call; an answer to an earlier call is ignored
 * @param failures the number of consecutive failed calls
 */
public record FollowData(
        FollowedTable table,
        DoubleSupplier random,
        long version,
        long latest,
        long wanted,
        long calledAt,
        long answeredAt,
        long provenAt,
        long resumeAt,
        long callId,
        int failures) {

    /** Checks that the table and the random source are present. */
    public FollowData {
        Objects.requireNonNull(table, "table");
        Objects.requireNonNull(random, "random");
    }

    static FollowData initial(FollowedTable table, DoubleSupplier random) {
        return new FollowData(table, random, 0, 0, 0, 0, 0, 0, 0, 0, 0);
    }

    FollowData withCall(long now) {
        return new FollowData(
                table, random, version, latest, wanted, now, answeredAt, provenAt, resumeAt, callId + 1, failures);
    }

    FollowData withAnswer(FollowInput input, long now) {
        long newVersion = Math.max(version, input.version());
        long newest = Math.max(latest, input.latest());
        return new FollowData(table, random, newVersion, newest, wanted, calledAt, now, now, resumeAt, callId, 0);
    }

    FollowData withResumeAt(long at) {
        return new FollowData(
                table, random, version, latest, wanted, calledAt, answeredAt, provenAt, at, callId, failures);
    }

    FollowData withReceivedRow(long rowVersion) {
        long newest = Math.max(latest, rowVersion);
        return new FollowData(
                table, random, version, newest, wanted, calledAt, answeredAt, provenAt, resumeAt, callId, failures);
    }

    FollowData withWantedRow(long rowVersion) {
        long newest = Math.max(wanted, rowVersion);
        return new FollowData(
                table, random, version, latest, newest, calledAt, answeredAt, provenAt, resumeAt, callId, failures);
    }

    FollowData withProof(long at) {
        long newest = Math.max(provenAt, at);
        return new FollowData(
                table, random, version, latest, wanted, calledAt, answeredAt, newest, resumeAt, callId, failures);
    }

    FollowData withFailure() {
        return new FollowData(
                table, random, version, latest, wanted, calledAt, answeredAt, provenAt, resumeAt, callId, failures + 1);
    }

    /** Returns whether this node knows a row of this version or a newer one. */
    boolean knows(long rowVersion) {
        return rowVersion <= Math.max(version, latest);
    }

    boolean isBehind() {
        return !knows(wanted);
    }

    /**
     * Returns when a pending call is considered lost, in nanoseconds. An answer from the store to any node postpones
     * it.
     */
    long silenceDueAt() {
        return Math.max(calledAt, provenAt) + table.silenceTimeoutNanos();
    }
}
