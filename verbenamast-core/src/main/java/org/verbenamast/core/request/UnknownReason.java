package org.verbenamast.core.request;

/** Why nobody can tell whether a request ran. */
public enum UnknownReason {
    /** The link to the member that had the request broke. */
    LINK_LOST(502),
    /** The connection to the backend server that had the request broke. */
    SERVER_LOST(502),
    /** The deadline passed while a backend server had the request. */
    DEADLINE_PASSED(504),
    /** The member that had the request may no longer speak for the key. */
    LEASE_LOST(502),
    /** An earlier send under the same idempotency key may have run, and the owner of the key can't be asked. */
    EARLIER_SEND(502),
    /** An earlier send under the same idempotency key may have run under an earlier owner of the key. */
    EARLIER_OWNER(502),
    /** An earlier send under the same idempotency key ran, and its answer is not kept. */
    ANSWER_NOT_KEPT(502);

    private final int status;

    UnknownReason(int status) {
        this.status = status;
    }

    /**
     * Returns the status that a caller gets.
     *
     * @return an HTTP status
     */
    public int status() {
        return status;
    }
}
