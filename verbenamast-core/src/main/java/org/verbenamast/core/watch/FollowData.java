package org.verbenamast.core.watch;

import java.util.Objects;
import java.util.function.DoubleSupplier;

/**
 * How far a table was followed.
 *
 * @param table the table
 * @param random draws numbers evenly from 0 (included) to 1 (excluded)
 * @param version the version after which changes are wanted
 * @param latest the version of the newest row that is known, of those that nodes tell each other of
 * @param wanted the version of the newest row that another node knows
 * @param calledAt when the last call was made, in nanoseconds
 * @param answeredAt when the store last answered this node, in nanoseconds
 * @param provenAt when the store last showed, to this node or another one, that nothing newer is there, in nanoseconds
 * @param resumeAt when the pause after a change ends, in nanoseconds
 * @param callId the number of the last call
 * @param failures the failed calls in a row
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

    /** Checks the table. */
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
        long reached = Math.max(version, input.version());
        long newest = Math.max(latest, input.latest());
        return new FollowData(table, random, reached, newest, wanted, calledAt, now, now, resumeAt, callId, 0);
    }

    FollowData withResumeAt(long until) {
        return new FollowData(
                table, random, version, latest, wanted, calledAt, answeredAt, provenAt, until, callId, failures);
    }

    FollowData withReceivedRow(long row) {
        long newest = Math.max(latest, row);
        return new FollowData(
                table, random, version, newest, wanted, calledAt, answeredAt, provenAt, resumeAt, callId, failures);
    }

    FollowData withWantedRow(long row) {
        long newest = Math.max(wanted, row);
        return new FollowData(
                table, random, version, latest, newest, calledAt, answeredAt, provenAt, resumeAt, callId, failures);
    }

    FollowData provenAt(long at) {
        long newest = Math.max(provenAt, at);
        return new FollowData(
                table, random, version, latest, wanted, calledAt, answeredAt, newest, resumeAt, callId, failures);
    }

    FollowData withFailure() {
        return new FollowData(
                table, random, version, latest, wanted, calledAt, answeredAt, provenAt, resumeAt, callId, failures + 1);
    }

    /** Tells whether rows up to a version are known. */
    boolean knows(long row) {
        return row <= Math.max(version, latest);
    }

    boolean isBehind() {
        return !knows(wanted);
    }

    /** Returns when a call that waits counts as lost, unless some node has heard from the store by then. */
    long silenceDueAt() {
        return Math.max(calledAt, provenAt) + table.silenceTimeoutNanos();
    }
}
