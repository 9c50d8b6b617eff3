package org.verbenamast.core.request;

/** The reason why it is unknown whether a request was executed. */
public enum UnknownReason {
    /** The link to the member that had the request was lost. */
    LINK_LOST(502),
    /** The connection to the backend server that had the request was lost. */
    SERVER_LOST(502),
    /** The deadline passed while a backend server had the request. */
    DEADLINE_PASSED(504),
    /** The member that had the request lost its key lease and may no longer answer for the key. */
    LEASE_LOST(502),
    /** An earlier send under the same idempotency key may have been executed; the owner of the key can't be asked. */
    EARLIER_SEND(502),
    /** An earlier send under the same idempotency key may have been executed under a previous owner of the key. */
    EARLIER_OWNER(502),
    /** An earlier send under the same idempotency key was executed, and its answer is no longer kept. */
    ANSWER_NOT_KEPT(502);

    private final int status;

    UnknownReason(int status) {
        this.status = status;
    }

    /**
     * Returns the status of the response to the caller.
     *
     * @return the HTTP status
     */
    public int status() {
        return status;
    }
}
