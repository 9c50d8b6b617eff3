package org.verbenamast.core.store;

import java.util.Objects;

/**
 * The data of one call to the table service, with all its attempts.
 *
 * @param callId the number of the call
 * @param request what is asked
 * @param attempt the number of the present attempt, from 0
 * @param lastAttempt the number of the last attempt that is permitted
 * @param inDoubt whether an earlier attempt of a transaction may have taken effect or may still do so
 * @param failure how the last attempt failed
 * @param retryPolicy decides on further attempts
 * @param continuation what is done with the answer
 */
public record StoreCall(
        long callId,
        StoreRequest request,
        int attempt,
        int lastAttempt,
        boolean inDoubt,
        StoreFailure failure,
        StoreRetryPolicy retryPolicy,
        StoreContinuation continuation) {

    private static final int CALL_ID_BITS = 48;
    private static final long CALL_ID_MASK = (1L << CALL_ID_BITS) - 1;

    /** Checks the parts. */
    public StoreCall {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(failure, "failure");
        Objects.requireNonNull(retryPolicy, "retries");
        Objects.requireNonNull(continuation, "continuation");
    }

    static StoreCall first(
            long key, StoreRequest request, int lastAttempt, StoreRetryPolicy retries, StoreContinuation continuation) {
        return new StoreCall(key, request, 0, lastAttempt, false, StoreFailure.NO_ANSWER, retries, continuation);
    }

    /**
     * Returns the number under which the reply to the present attempt comes back.
     *
     * @return a number that no other attempt has
     */
    public long attemptId() {
        return ((long) attempt << CALL_ID_BITS) | callId;
    }

    static long callIdOf(long number) {
        return number & CALL_ID_MASK;
    }

    boolean isCommit() {
        return request instanceof StoreRequest.Commit;
    }

    StoreCall nextAttempt() {
        return new StoreCall(callId, request, attempt + 1, lastAttempt, inDoubt, failure, retryPolicy, continuation);
    }

    StoreCall withFailure(StoreFailure how) {
        boolean doubt = inDoubt || isCommit() && how.effectUnknown();
        return new StoreCall(callId, request, attempt, lastAttempt, doubt, how, retryPolicy, continuation);
    }

    /** Returns the failure to report: a transaction in doubt is never reported as one without effect. */
    StoreFailure reportedFailure() {
        return inDoubt ? StoreFailure.NO_ANSWER : failure;
    }

    /** Returns the request that shows whether a transaction took effect; one row tells, as all or none are written. */
    StoreRequest readBackRequest() {
        return new StoreRequest.ReadRow(firstWrite().key());
    }

    private RowWrite firstWrite() {
        return ((StoreRequest.Commit) request).writes().get(0);
    }

    /** Tells whether rows show that no attempt has taken effect, though a late one still may. */
    boolean isUnchangedIn(StoreReply reply) {
        return reply instanceof StoreReply.RowsRead read
                && versionIn(read) == firstWrite().expectedVersion();
    }

    private long versionIn(StoreReply.RowsRead read) {
        return read.rows().isEmpty() ? 0 : read.rows().get(0).version();
    }

    /** Tells whether a reply shows the rows as this transaction wrote them. */
    boolean isCommittedIn(StoreReply reply) {
        if (reply instanceof StoreReply.RowsRead read) {
            return read.rows().stream().anyMatch(this::isOwnWrite);
        }
        return reply instanceof StoreReply.Conflicted conflicted
                && conflicted.rows().stream().anyMatch(this::isOwnWrite);
    }

    private boolean isOwnWrite(Row row) {
        return ((StoreRequest.Commit) request)
                .writes().stream()
                        .anyMatch(write -> row.key().equals(write.key())
                                && row.version() == write.expectedVersion() + 1
                                && row.value().operation().equals(write.value().operation()));
    }
}
