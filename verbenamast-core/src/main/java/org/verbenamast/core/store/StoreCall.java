package org.verbenamast.core.store;

import java.util.Objects;

/**
 * The data of one call to the table service.
 *
 * @param number the number under which the reply comes back
 * @param request what is asked
 * @param timeoutNanos how long to wait for an answer, in nanoseconds
 * @param continuation what is done with the answer
 */
public record StoreCall(long number, StoreRequest request, long timeoutNanos, StoreContinuation continuation) {

    /** Checks the parts. */
    public StoreCall {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(continuation, "continuation");
    }
}
