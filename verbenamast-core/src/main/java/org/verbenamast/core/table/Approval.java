package org.verbenamast.core.table;

import java.util.Objects;

/**
 * An operator's approval of a change, for one of the two organisations.
 *
 * @param operator the operator who approved
 * @param organisation the operator's organisation
 * @param hash the hash of the approved content
 * @param at the wall-clock time stated by the operator, informational only
 * @param operation the id of the approving command
 * @param signature the operator's signature over the command, in Base64
 */
public record Approval(
        OperatorName operator,
        Organisation organisation,
        ContentHash hash,
        String at,
        String operation,
        String signature) {

    /** Validates the components. */
    public Approval {
        Objects.requireNonNull(operator, "operator");
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(hash, "hash");
        Objects.requireNonNull(at, "at");
        Objects.requireNonNull(operation, "operation");
        Objects.requireNonNull(signature, "signature");
    }
}
