package org.verbenamast.core.gate.runs;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.model.SliceId;
import org.verbenamast.core.request.CallerRequest;

/**
 * The key of the run record of a non-idempotent request. All sends under one idempotency key share a run key; a request
 * without an idempotency key has its own.
 *
 * @param slice the slice whose owner keeps the record, or null if the request has no idempotency key
 * @param text the idempotency key, or the request's identity
 */
public record RunKey(SliceId slice, String text) {

    /** Checks that the text is not blank. */
    public RunKey {
        Checks.notBlank("text", text);
    }

    /**
     * Returns the run key of a request.
     *
     * @param id the request's identity
     * @param request the request, which is not idempotent
     * @param slice the request's slice, or null if it has none
     * @return the run key
     */
    public static RunKey of(RequestId id, CallerRequest request, SliceId slice) {
        if (request.idempotencyKey().isEmpty()) {
            return new RunKey(null, id.toString());
        }
        return new RunKey(Objects.requireNonNull(slice, "slice"), request.idempotencyKey());
    }

    /**
     * Returns whether a caller may resend the request under the same key.
     *
     * @return whether the request has an idempotency key
     */
    public boolean resendable() {
        return slice != null;
    }

    @Override
    public String toString() {
        return resendable() ? slice + "/" + text : text;
    }
}
