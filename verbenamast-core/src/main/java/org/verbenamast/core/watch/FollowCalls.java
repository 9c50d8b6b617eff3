package org.verbenamast.core.watch;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;

import org.verbenamast.core.check.Checks;

/**
 * The calls that follow one table. A time of 0 means never.
 *
 * @param pending the calls that have not ended, the oldest first
 * @param lastId the number of the last call
 * @param lastSentAt the monotonic time of the last call, in nanoseconds
 * @param arrivingSince the monotonic time when the first bytes of an answer that is incomplete arrived, in nanoseconds
 * @param unanswered the number of calls since the last answer
 * @param failures the number of consecutive failed calls
 * @param lostHistories how often the history was gone since a call that waits for changes was last answered
 */
public record FollowCalls(
        List<FollowCall> pending,
        long lastId,
        long lastSentAt,
        long arrivingSince,
        int unanswered,
        int failures,
        int lostHistories) {

    /** Maximum number of pending calls: one that may still be answered, beside the one that replaces it. */
    static final int MAX_PENDING = 2;

    static final FollowCalls NONE = new FollowCalls(List.of(), 0, 0, 0, 0, 0, 0);

    /** Checks that no number is negative and copies the list. */
    public FollowCalls {
        pending = List.copyOf(Objects.requireNonNull(pending, "pending"));
        Checks.notNegative("lastId", lastId);
        Checks.notNegative("unanswered", unanswered);
        Checks.notNegative("failures", failures);
        Checks.notNegative("lostHistories", lostHistories);
    }

    Optional<FollowCall> find(long callId) {
        return pending.stream().filter(call -> call.id() == callId).findFirst();
    }

    boolean isPending(long callId) {
        return find(callId).isPresent();
    }

    /** Returns the pending calls other than one. */
    List<FollowCall> others(long callId) {
        return pending.stream().filter(call -> call.id() != callId).toList();
    }

    /**
     * Returns the calls that have to end before another one may be made. The oldest one stays: where answers begin
     * late, it is the next to be answered.
     */
    List<FollowCall> surplus() {
        return pending.subList(Math.min(pending.size(), MAX_PENDING - 1), pending.size());
    }

    FollowCalls with(FollowCall call) {
        List<FollowCall> calls =
                Stream.concat(pending.stream(), Stream.of(call)).toList();
        return new FollowCalls(calls, call.id(), call.sentAt(), 0, unanswered + 1, failures, lostHistories);
    }

    FollowCalls without(List<FollowCall> ended) {
        List<FollowCall> left =
                pending.stream().filter(call -> !ended.contains(call)).toList();
        return new FollowCalls(left, lastId, lastSentAt, arrivingSince, unanswered, failures, lostHistories);
    }

    FollowCalls withArrival(long now) {
        return new FollowCalls(pending, lastId, lastSentAt, now, unanswered, failures, lostHistories);
    }

    FollowCalls withAnswer(FollowCall call) {
        int losses = call.waitsForChanges() ? 0 : lostHistories;
        return new FollowCalls(pending, lastId, lastSentAt, arrivingSince, 0, 0, losses);
    }

    FollowCalls withLostHistory() {
        return new FollowCalls(pending, lastId, lastSentAt, 0, unanswered, failures, lostHistories + 1);
    }

    FollowCalls withFailure() {
        return new FollowCalls(pending, lastId, lastSentAt, 0, unanswered, failures + 1, lostHistories);
    }

    /** Returns how long the answer that is arriving has taken so far, in nanoseconds; 0 where none is. */
    long transferNanos(long now) {
        return arrivingSince == 0 ? 0 : now - arrivingSince;
    }

    /** Returns the last call if it waits for changes and nothing of an answer has arrived. */
    Optional<FollowCall> waiting() {
        return find(lastId).filter(call -> call.waitsForChanges() && arrivingSince == 0);
    }
}
