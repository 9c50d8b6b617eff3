package org.verbenamast.core.table;

import java.util.Objects;

/**
 * A command that was applied to a change, as recorded in its row.
 *
 * @param kind the kind of command
 * @param operator the operator who issued it
 * @param organisation the operator's organisation
 * @param hash the hash of the content to which it referred
 * @param reason the operator's reason
 * @param at the wall-clock time stated by the operator, informational only
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

    /** Validates the components. */
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
