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
 * @param attempts how many tries were made
 * @param tries the tries that members have
 * @param lastRefusal why it was refused last
 * @param doubt why a try or an earlier send may have run unseen, or null where none can have
 * @param hedgeNanos how long the first try may last before a second one is made, in nanoseconds
 */
public record RequestData(
        RequestId id,
        CallerRequest request,
        long deadline,
        int attempts,
        List<Attempt> tries,
        NotRunReason lastRefusal,
        UnknownReason doubt,
        long hedgeNanos) {

    /** Checks the parts and copies the list. */
    public RequestData {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(request, "request");
        tries = List.copyOf(tries);
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
    public static RequestData arrived(RequestId id, CallerRequest request, long deadline) {
        UnknownReason doubt = request.resendable() ? UnknownReason.EARLIER_SEND : null;
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
    public RequestData sentTo(MemberId member, long now, long hedge) {
        List<Attempt> next = new ArrayList<>(tries);
        next.add(new Attempt(attempts + 1, member, now));
        return new RequestData(id, request, deadline, attempts + 1, next, lastRefusal, doubt, hedge);
    }

    /**
     * Finds a try that a member has.
     *
     * @param attempt the number of the try
     * @return the try, if its end is not known yet
     */
    public Optional<Attempt> openTry(int attempt) {
        return tries.stream().filter(open -> open.attempt() == attempt).findFirst();
    }

    /**
     * Tells whether a member has a try of this request.
     *
     * @param member the member
     * @return whether it has
     */
    public boolean at(MemberId member) {
        return tries.stream().anyMatch(open -> open.member().equals(member));
    }

    /**
     * Returns this data without a try that certainly did not run.
     *
     * @param attempt the number of the try
     * @param reason why it was refused
     * @return the changed data
     */
    public RequestData refused(int attempt, NotRunReason reason) {
        return new RequestData(
                id, request, deadline, attempts, without(attempt), reason, doubtAfter(reason), hedgeNanos);
    }

    private UnknownReason doubtAfter(NotRunReason reason) {
        if (!request.resendable() || (doubt != null && doubt != UnknownReason.EARLIER_SEND)) {
            return doubt;
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
    public RequestData lost(int attempt, UnknownReason reason) {
        return new RequestData(id, request, deadline, attempts, without(attempt), lastRefusal, reason, hedgeNanos);
    }

    private List<Attempt> without(int attempt) {
        return tries.stream().filter(open -> open.attempt() != attempt).toList();
    }

    /**
     * Returns what the caller is told where no try was answered.
     *
     * @return that it was not run, or that nobody can tell
     */
    public RequestOutcome unanswered() {
        return doubt == null ? new RequestOutcome.NotRun(lastRefusal) : new RequestOutcome.Unknown(doubt);
    }
}
