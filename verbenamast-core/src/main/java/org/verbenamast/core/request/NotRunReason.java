package org.verbenamast.core.request;

/** The reason why a request was refused before any backend server executed it. */
public enum NotRunReason {
    /** No configured service has this name. */
    UNKNOWN_SERVICE(404, Retry.NEVER, Scope.EVERY_SEND),
    /** The service is keyed and the request has no key. */
    MISSING_KEY(400, Retry.NEVER, Scope.EVERY_SEND),
    /** The request can't be parsed. */
    MALFORMED(400, Retry.NEVER, Scope.EVERY_SEND),
    /** The body exceeds the size limit. */
    BODY_TOO_LARGE(413, Retry.NEVER, Scope.EVERY_SEND),
    /** At present no backend server may execute the request. */
    NO_OWNER(503, Retry.LATER, Scope.THIS_SEND),
    /** The member that received the request does not own the key at present. */
    WRONG_OWNER(503, Retry.LATER, Scope.THIS_SEND),
    /** The member that received the request is stopping. */
    LEAVING(503, Retry.LATER, Scope.THIS_SEND),
    /** The member can't be reached. */
    MEMBER_UNREACHABLE(503, Retry.ELSEWHERE, Scope.THIS_SEND),
    /** The member is still waiting for the previous owner's records of executed requests. */
    RECORDS_AWAITED(503, Retry.LATER, Scope.THIS_SEND),
    /** The backend server is at its concurrency limit and the queue is full. */
    OVERLOADED(503, Retry.ELSEWHERE, Scope.THIS_SEND),
    /** The request would have to wait for the backend server beyond its deadline. */
    WAIT_TOO_LONG(503, Retry.ELSEWHERE, Scope.THIS_SEND),
    /** The backend server refused the request without executing it. */
    SHED(503, Retry.ELSEWHERE, Scope.THIS_SEND),
    /** The backend server can't be reached. */
    SERVER_UNREACHABLE(503, Retry.ELSEWHERE, Scope.THIS_SEND),
    /** A backend server may have crashed while it executed an identical request; the crash is not confirmed yet. */
    SUSPECT_HELD(503, Retry.LATER, Scope.THIS_SEND),
    /** Backend servers crashed while they executed identical requests. */
    CRASH_SUSPECT(422, Retry.NEVER, Scope.THIS_SEND),
    /** The deadline passed before the request was sent to a backend server. */
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
     * Returns the status of the response to the caller.
     *
     * @return the HTTP status
     */
    public int status() {
        return status;
    }

    /**
     * Returns whether the request may be attempted again, at the same member or another one.
     *
     * @return true if another attempt may succeed
     */
    public boolean mayRetry() {
        return retry != Retry.NEVER;
    }

    /**
     * Returns whether the refusal also holds for every other send under the same idempotency key. A refusal because of
     * load or an unreachable member does not: another send may be on its way to the owner of the key and be executed
     * right after.
     *
     * @return true if no send of the same content can ever be executed
     */
    public boolean coversEarlierSends() {
        return scope == Scope.EVERY_SEND;
    }

    /**
     * Returns whether another attempt spends from the retry budget.
     *
     * @return true if the cause is load or an unreachable member, and not a key that is moving to another owner
     */
    public boolean spendsRetryBudget() {
        return retry == Retry.ELSEWHERE;
    }

    /**
     * Returns whether the refusal counts as a failure of the member that refused.
     *
     * @return true if the member or its backend server can't be reached, or the backend server refuses work
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
