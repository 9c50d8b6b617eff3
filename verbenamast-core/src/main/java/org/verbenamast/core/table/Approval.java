package org.verbenamast.core.table;

import java.util.Objects;

/**
 * The sign-off of a change by an operator.
 *
 * @param operator who signed
 * @param organisation for which organisation
 * @param hash the hash of the content that was signed
 * @param at the wall time that the operator stated, as information only
 * @param operation the id of the command
 * @param signature the signature of the command, in Base64
 */
public record Approval(
        OperatorName operator,
        Organisation organisation,
        ContentHash hash,
        String at,
        String operation,
        String signature) {

    /** Checks the parts. */
    public Approval {
        Objects.requireNonNull(operator, "operator");
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(hash, "hash");
        Objects.requireNonNull(at, "at");
        Objects.requireNonNull(operation, "operation");
        Objects.requireNonNull(signature, "signature");
    }
}
