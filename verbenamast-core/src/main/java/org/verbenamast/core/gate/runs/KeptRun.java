package org.verbenamast.core.gate.runs;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.request.RequestOutcome;

/**
 * The record of a run, as the owner of a slice sends it to the next owner.
 *
 * @param idempotencyKey the idempotency key
 * @param id the identity of the send that was executed
 * @param outcome the outcome of the run
 */
public record KeptRun(String idempotencyKey, RequestId id, RequestOutcome outcome) {

    /** Checks that the idempotency key is not blank and that no component is null. */
    public KeptRun {
        Checks.notBlank("idempotencyKey", idempotencyKey);
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(outcome, "outcome");
    }
}
