package org.verbenamast.core.request;

/** Why a request was refused before any backend server ran it. */
public enum NotRunReason {
    /** No service has this name. */
    UNKNOWN_SERVICE(404, Retry.NEVER, Scope.EVERY_SEND),
    /** The service is keyed and the request has no key. */
    MISSING_KEY(400, Retry.NEVER, Scope.EVERY_SEND),
    /** The request can't be read. */
    MALFORMED(400, Retry.NEVER, Scope.EVERY_SEND),
    /** The body is over the limit. */
    BODY_TOO_LARGE(413, Retry.NEVER, Scope.EVERY_SEND),
    /** No backend server may take the request at present. */
    NO_OWNER(503, Retry.LATER, Scope.THIS_SEND),
    /** The member asked does not own the key at present. */
    WRONG_OWNER(503, Retry.LATER, Scope.THIS_SEND),
    /** The member asked is stopping. */
    LEAVING(503, Retry.LATER, Scope.THIS_SEND),
    /** The member asked can't be reached. */
    MEMBER_UNREACHABLE(503, Retry.ELSEWHERE, Scope.THIS_SEND),
    /** The member asked waits for the earlier owner's records of what ran. */
    RECORDS_AWAITED(503, Retry.LATER, Scope.THIS_SEND),
    /** The backend server has as much work as it may have, and the queue is full. */
    OVERLOADED(503, Retry.ELSEWHERE, Scope.THIS_SEND),
    /** The wait for the backend server would outlast the deadline. */
    WAIT_TOO_LONG(503, Retry.ELSEWHERE, Scope.THIS_SEND),
    /** The backend server refused the request without running it. */
    SHED(503, Retry.ELSEWHERE, Scope.THIS_SEND),
    /** The backend server can't be reached. */
    SERVER_UNREACHABLE(503, Retry.ELSEWHERE, Scope.THIS_SEND),
    /** A backend server may have crashed while it ran such a request; it is not known yet. */
    SUSPECT_HELD(503, Retry.LATER, Scope.THIS_SEND),
    /** Backend servers crashed while they ran such a request. */
    CRASH_SUSPECT(422, Retry.NEVER, Scope.THIS_SEND),
    /** The deadline passed before a backend server was given the request. */
    DEADLINE_PASSED(504, Retry.NEVER, Scope.THIS_SEND);

    private final int status;
    private final Retry retry;
    private final Scope scope;

    NotRunReason(int status, Retry retry, Scope scope) {
        this.status = status;
        this.retry = retry;
        this.scope = scope;
    }

    /**
     * Returns the status that a caller gets.
     *
     * @return an HTTP status
     */
    public int status() {
        return status;
    }

    /**
     * Tells whether the request may be tried again, here or at another member.
     *
     * @return whether another try may succeed
     */
    public boolean mayRetry() {
        return retry != Retry.NEVER;
    }

    /**
     * Tells whether the refusal also says that no other send under the same idempotency key ran. A refusal for load or
     * loss does not: another send may be on its way to the owner of the key and run right after.
     *
     * @return whether no send of the same content can ever run
     */
    public boolean coversEarlierSends() {
        return scope == Scope.EVERY_SEND;
    }

    /**
     * Tells whether another try takes from the retry budget.
     *
     * @return whether the refusal comes from load or loss, and not from a key that is on its way to another owner
     */
    public boolean spendsRetryBudget() {
        return retry == Retry.ELSEWHERE;
    }

    /**
     * Tells whether the member that refused should be given no requests for a while.
     *
     * @return whether it or its backend server can't be reached or refuses work
     */
    public boolean countsAsMemberFailure() {
        return this == MEMBER_UNREACHABLE || this == SERVER_UNREACHABLE || this == SHED;
    }

    private enum Retry {
        NEVER,
        LATER,
        ELSEWHERE
    }

    private enum Scope {
        THIS_SEND,
        EVERY_SEND
    }
}
