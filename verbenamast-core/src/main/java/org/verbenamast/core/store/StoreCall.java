package org.verbenamast.core.store;

import java.util.Objects;

/**
 * The data of one call to the table service, with all its attempts.
 *
 * @param callId the number of the call, which all its attempts share
 * @param request the request to the table service
 * @param attempt the number of the current attempt, from 0
 * @param lastAttempt the number of the last permitted attempt
 * @param inDoubt whether an earlier attempt of a transaction may have taken effect or may still do so
 * @param failure how the last attempt failed
 * @param retryPolicy decides whether and when another attempt follows
 * @param continuation receives the reply
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

    /** Requires the request, the failure, the retry policy and the continuation. */
    public StoreCall {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(failure, "failure");
        Objects.requireNonNull(retryPolicy, "retryPolicy");
        Objects.requireNonNull(continuation, "continuation");
    }

    static StoreCall first(
            long callId,
            StoreRequest request,
            int lastAttempt,
            StoreRetryPolicy retryPolicy,
            StoreContinuation continuation) {
        return new StoreCall(callId, request, 0, lastAttempt, false, StoreFailure.NO_ANSWER, retryPolicy, continuation);
    }

    /**
     * Returns the id that the reply to the current attempt carries: the number of the attempt in the upper 16 bits, the
     * number of the call in the lower 48 bits.
     *
     * @return an id that no other attempt of any call has
     */
    public long attemptId() {
        return ((long) attempt << CALL_ID_BITS) | callId;
    }

    static long callIdOf(long attemptId) {
        return attemptId & CALL_ID_MASK;
    }

    boolean isCommit() {
        return request instanceof StoreRequest.Commit;
    }

    StoreCall nextAttempt() {
        return new StoreCall(callId, request, attempt + 1, lastAttempt, inDoubt, failure, retryPolicy, continuation);
    }

    StoreCall withFailure(StoreFailure next) {
        boolean doubt = inDoubt || isCommit() && next.effectUnknown();
        return new StoreCall(callId, request, attempt, lastAttempt, doubt, next, retryPolicy, continuation);
    }

    /** Returns the failure to report. A transaction in doubt is never reported as one without effect. */
    StoreFailure reportedFailure() {
        return inDoubt ? StoreFailure.NO_ANSWER : failure;
    }

    /**
     * Returns the request whose reply shows whether the transaction took effect. One row is enough, because a
     * transaction writes all its rows or none.
     */
    StoreRequest readBackRequest() {
        return new StoreRequest.ReadRow(firstWrite().key());
    }

    private RowWrite firstWrite() {
        return ((StoreRequest.Commit) request).writes().get(0);
    }

    /** Returns whether a reply shows that no attempt has taken effect so far. A delayed attempt still may. */
    boolean isUnchangedIn(StoreReply reply) {
        return reply instanceof StoreReply.RowsRead read
                && versionIn(read) == firstWrite().expectedVersion();
    }

    private long versionIn(StoreReply.RowsRead read) {
        return read.rows().isEmpty() ? 0 : read.rows().get(0).version();
    }

    /** Returns whether a reply shows a row as this transaction wrote it. */
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
