package org.verbenamast.core.request;

/** Why a request was refused before any backend server ran it. */
public enum NotRunReason {
    /** No service has this name. */
    UNKNOWN_SERVICE(404, Retry.NEVER),
    /** The service is keyed and the request has no key. */
    MISSING_KEY(400, Retry.NEVER),
    /** The request can't be read. */
    MALFORMED(400, Retry.NEVER),
    /** The body is over the limit. */
    BODY_TOO_LARGE(413, Retry.NEVER),
    /** No backend server may take the request at present. */
    NO_OWNER(503, Retry.ELSEWHERE),
    /** The member asked does not own the key at present. */
    WRONG_OWNER(503, Retry.ELSEWHERE),
    /** The member asked is stopping. */
    LEAVING(503, Retry.ELSEWHERE),
    /** The backend server has as much work as it may have, and the queue is full. */
    OVERLOADED(503, Retry.ELSEWHERE),
    /** The backend server refused the request without running it. */
    SHED(503, Retry.ELSEWHERE),
    /** The backend server can't be reached. */
    SERVER_UNREACHABLE(503, Retry.ELSEWHERE),
    /** The deadline passed before a backend server was given the request. */
    DEADLINE_PASSED(504, Retry.NEVER);

    private final int status;
    private final Retry retry;

    NotRunReason(int status, Retry retry) {
        this.status = status;
        this.retry = retry;
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
        return retry == Retry.ELSEWHERE;
    }

    private enum Retry {
        NEVER,
        ELSEWHERE
    }
}
