package org.verbenamast.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;

/**
 * The data of a request at the member that took it from its caller.
 *
 * @param id the request's identity
 * @param request the request
 * @param deadline the monotonic time at which the caller gives up, in nanoseconds
 * @param attemptCount how many tries were made
 * @param openAttempts the tries that members have
 * @param lastRefusal why it was refused last
 * @param unknownReason why a try or an earlier send may have run unseen, or null where none can have
 * @param hedgeDelayNanos how long the first try may last before a second one is made, in nanoseconds
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

    /** Checks the parts and copies the list. */
    public RequestData {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(request, "request");
        openAttempts = List.copyOf(openAttempts);
        Objects.requireNonNull(lastRefusal, "lastRefusal");
    }

    /**
     * Returns the data of a request that has just arrived.
     *
     * @param id the request's identity
     * @param request the request
     * @param deadline the monotonic time at which the caller gives up, in nanoseconds
     * @return the data
     */
    public static RequestData initial(RequestId id, CallerRequest request, long deadline) {
        UnknownReason doubt = request.usesIdempotencyKey() ? UnknownReason.EARLIER_SEND : null;
        return new RequestData(id, request, deadline, 0, List.of(), NotRunReason.NO_OWNER, doubt, 0);
    }

    /**
     * Returns this data with one more try.
     *
     * @param member the member that the request is sent to
     * @param now the monotonic time, in nanoseconds
     * @param hedge how long the try may last before a second one is made, in nanoseconds
     * @return the changed data
     */
    public RequestData withSentAttempt(MemberId member, long now, long hedge) {
        List<Attempt> next = new ArrayList<>(openAttempts);
        next.add(new Attempt(attemptCount + 1, member, now));
        return new RequestData(id, request, deadline, attemptCount + 1, next, lastRefusal, unknownReason, hedge);
    }

    /**
     * Finds a try that a member has.
     *
     * @param attempt the number of the try
     * @return the try, if its end is not known yet
     */
    public Optional<Attempt> openAttempt(int attempt) {
        return openAttempts.stream().filter(open -> open.number() == attempt).findFirst();
    }

    /**
     * Tells whether a member has a try of this request.
     *
     * @param member the member
     * @return whether it has
     */
    public boolean hasAttemptAt(MemberId member) {
        return openAttempts.stream().anyMatch(open -> open.member().equals(member));
    }

    /**
     * Returns this data without a try that certainly did not run.
     *
     * @param attempt the number of the try
     * @param reason why it was refused
     * @return the changed data
     */
    public RequestData withRefusedAttempt(int attempt, NotRunReason reason) {
        return new RequestData(
                id,
                request,
                deadline,
                attemptCount,
                attemptsWithout(attempt),
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
     * Returns this data without a try that may have run.
     *
     * @param attempt the number of the try
     * @param reason why nobody can tell
     * @return the changed data
     */
    public RequestData withLostAttempt(int attempt, UnknownReason reason) {
        return new RequestData(
                id, request, deadline, attemptCount, attemptsWithout(attempt), lastRefusal, reason, hedgeDelayNanos);
    }

    private List<Attempt> attemptsWithout(int attempt) {
        return openAttempts.stream().filter(open -> open.number() != attempt).toList();
    }

    /**
     * Returns what the caller is told where no try was answered.
     *
     * @return that it was not run, or that nobody can tell
     */
    public RequestOutcome outcomeWithoutAnswer() {
        return unknownReason == null
                ? new RequestOutcome.NotRun(lastRefusal)
                : new RequestOutcome.Unknown(unknownReason);
    }
}
