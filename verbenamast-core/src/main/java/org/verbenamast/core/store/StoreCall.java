package org.verbenamast.core.store;

import java.util.Objects;

/**
 * The data of one call to the table service, with all its attempts.
 *
 * @param key the number of the call
 * @param request what is asked
 * @param attempt the number of the present attempt, from 0
 * @param lastAttempt the number of the last attempt that is permitted
 * @param inDoubt whether an earlier attempt of a transaction may have taken effect or may still do so
 * @param failure how the last attempt failed
 * @param retries decides on further attempts
 * @param continuation what is done with the answer
 */
public record StoreCall(
        long key,
        StoreRequest request,
        int attempt,
        int lastAttempt,
        boolean inDoubt,
        StoreFailure failure,
        StoreRetries retries,
        StoreContinuation continuation) {

    private static final int KEY_BITS = 48;
    private static final long KEY_MASK = (1L << KEY_BITS) - 1;

    /** Checks the parts. */
    public StoreCall {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(failure, "failure");
        Objects.requireNonNull(retries, "retries");
        Objects.requireNonNull(continuation, "continuation");
    }

    static StoreCall first(
            long key, StoreRequest request, int lastAttempt, StoreRetries retries, StoreContinuation continuation) {
        return new StoreCall(key, request, 0, lastAttempt, false, StoreFailure.NO_ANSWER, retries, continuation);
    }

    /**
     * Returns the number under which the reply to the present attempt comes back.
     *
     * @return a number that no other attempt has
     */
    public long number() {
        return ((long) attempt << KEY_BITS) | key;
    }

    static long keyOf(long number) {
        return number & KEY_MASK;
    }

    boolean isCommit() {
        return request instanceof StoreRequest.Commit;
    }

    StoreCall nextAttempt() {
        return new StoreCall(key, request, attempt + 1, lastAttempt, inDoubt, failure, retries, continuation);
    }

    StoreCall failed(StoreFailure how) {
        boolean doubt = inDoubt || isCommit() && how.effectUnknown();
        return new StoreCall(key, request, attempt, lastAttempt, doubt, how, retries, continuation);
    }

    /** Returns the failure to report: a transaction in doubt is never reported as one without effect. */
    StoreFailure outcome() {
        return inDoubt ? StoreFailure.NO_ANSWER : failure;
    }

    /** Returns the request that shows whether a transaction took effect; one row tells, as all or none are written. */
    StoreRequest readBack() {
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
    boolean isOwnWriteIn(StoreReply reply) {
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
