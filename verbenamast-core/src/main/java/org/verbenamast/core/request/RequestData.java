package org.verbenamast.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;

/**
 * The data of a request at its entry node, the node that received it from the caller.
 *
 * @param id the id of the request
 * @param request the request as the caller sent it
 * @param deadline the monotonic time at which the caller gives up, in nanoseconds
 * @param attemptCount the number of attempts made so far
 * @param openAttempts the attempts whose outcome is not known yet
 * @param lastRefusal the reason of the latest refusal
 * @param unknownReason the reason why an attempt or an earlier send may have been executed with an unknown outcome, or
 *     null if none can have been
 * @param hedgeDelayNanos how long the open attempt may take before a hedge is sent, in nanoseconds
 */
public record RequestData(
        RequestId id,
        CallerRequest request,
        long deadline,
        int attemptCount,
        List<Attempt> openAttempts,
        NotRunReason lastRefusal,
        UnknownReason unknownReason,
        long hedgeDelayNanos) {

    /** Checks for nulls and copies the open attempts. */
    public RequestData {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(request, "request");
        openAttempts = List.copyOf(openAttempts);
        Objects.requireNonNull(lastRefusal, "lastRefusal");
    }

    /**
     * Returns the data of a new request without attempts. If the request relies on its idempotency key, an earlier send
     * may already have been executed.
     *
     * @param id the id of the request
     * @param request the request as the caller sent it
     * @param deadline the monotonic time at which the caller gives up, in nanoseconds
     * @return the initial data
     */
    public static RequestData initial(RequestId id, CallerRequest request, long deadline) {
        UnknownReason unknownReason = request.usesIdempotencyKey() ? UnknownReason.EARLIER_SEND : null;
        return new RequestData(id, request, deadline, 0, List.of(), NotRunReason.NO_OWNER, unknownReason, 0);
    }

    /**
     * Returns a copy of this data with one more open attempt.
     *
     * @param member the member that the attempt is sent to
     * @param now the monotonic time, in nanoseconds
     * @param hedgeDelay how long the attempt may take before a hedge is sent, in nanoseconds
     * @return the copy
     */
    public RequestData withSentAttempt(MemberId member, long now, long hedgeDelay) {
        List<Attempt> next = new ArrayList<>(openAttempts);
        next.add(new Attempt(attemptCount + 1, member, now));
        return new RequestData(id, request, deadline, attemptCount + 1, next, lastRefusal, unknownReason, hedgeDelay);
    }

    /**
     * Returns an open attempt.
     *
     * @param number the number of the attempt
     * @return the attempt, or empty if its outcome is already known
     */
    public Optional<Attempt> openAttempt(int number) {
        return openAttempts.stream().filter(open -> open.number() == number).findFirst();
    }

    /**
     * Returns whether a member has an open attempt of this request.
     *
     * @param member the member
     * @return true if an attempt is open at the member
     */
    public boolean hasAttemptAt(MemberId member) {
        return openAttempts.stream().anyMatch(open -> open.member().equals(member));
    }

    /**
     * Returns a copy of this data without an attempt that was certainly not executed.
     *
     * @param number the number of the attempt
     * @param reason why it was refused
     * @return the copy
     */
    public RequestData withRefusedAttempt(int number, NotRunReason reason) {
        return new RequestData(
                id,
                request,
                deadline,
                attemptCount,
                attemptsWithout(number),
                reason,
                unknownReasonAfter(reason),
                hedgeDelayNanos);
    }

    private UnknownReason unknownReasonAfter(NotRunReason reason) {
        if (!request.usesIdempotencyKey() || (unknownReason != null && unknownReason != UnknownReason.EARLIER_SEND)) {
            return unknownReason;
        }
        return reason.coversEarlierSends() ? null : UnknownReason.EARLIER_SEND;
    }

    /**
     * Returns a copy of this data without an attempt that may have been executed.
     *
     * @param number the number of the attempt
     * @param reason why its outcome is unknown
     * @return the copy
     */
    public RequestData withLostAttempt(int number, UnknownReason reason) {
        return new RequestData(
                id, request, deadline, attemptCount, attemptsWithout(number), lastRefusal, reason, hedgeDelayNanos);
    }

    private List<Attempt> attemptsWithout(int number) {
        return openAttempts.stream().filter(open -> open.number() != number).toList();
    }

    /**
     * Returns the outcome for the caller if no attempt was answered.
     *
     * @return not run if that is certain, otherwise unknown
     */
    public RequestOutcome outcomeWithoutAnswer() {
        return unknownReason == null
                ? new RequestOutcome.NotRun(lastRefusal)
                : new RequestOutcome.Unknown(unknownReason);
    }
}
