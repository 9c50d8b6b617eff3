package org.verbenamast.core.gate.runs;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.model.SliceId;
import org.verbenamast.core.request.CallerRequest;

/**
 * What identifies the runs of a non-idempotent request: all sends under one idempotency key share it. A request
 * without an idempotency key has one of its own.
 *
 * @param slice the slice whose owner keeps the record, or null where the request has no idempotency key
 * @param text the idempotency key, or the request's identity
 */
public record RunKey(SliceId slice, String text) {

    /** Checks the text. */
    public RunKey {
        Checks.notBlank("text", text);
    }

    /**
     * Derives the key of a request.
     *
     * @param id the request's identity
     * @param request the request; not idempotent
     * @param slice the request's slice, or null where it has none
     * @return the key
     */
    public static RunKey of(RequestId id, CallerRequest request, SliceId slice) {
        if (request.idempotencyKey().isEmpty()) {
            return new RunKey(null, id.toString());
        }
        return new RunKey(Objects.requireNonNull(slice, "slice"), request.idempotencyKey());
    }

    /**
     * Tells whether a caller may send the request again under the same key.
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
