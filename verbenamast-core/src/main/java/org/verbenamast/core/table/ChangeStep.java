package org.verbenamast.core.table;

import java.util.Objects;

/**
 * A command that a change has taken.
 *
 * @param kind the command
 * @param operator who gave it
 * @param organisation for which organisation
 * @param hash the hash of the content that it was about
 * @param reason why
 * @param at the wall time that the operator stated, as information only
 * @param operation the id of the command
 */
public record ChangeStep(
        ChangeCommandKind kind,
        OperatorName operator,
        Organisation organisation,
        ContentHash hash,
        String reason,
        String at,
        String operation) {

    /** Checks the parts. */
    public ChangeStep {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(operator, "operator");
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(hash, "hash");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(at, "at");
        Objects.requireNonNull(operation, "operation");
    }
}
