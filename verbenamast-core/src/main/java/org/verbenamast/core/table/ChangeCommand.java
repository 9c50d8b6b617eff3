package org.verbenamast.core.table;

import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * An operator's signed command on a change of the table.
 *
 * @param kind the kind of command
 * @param operation the unique id of the command; a command sent again keeps it
 * @param operator the operator who issues the command
 * @param change the id of the change
 * @param base the version of the table on which the content is based; 0 if there is none
 * @param hash the hash of the proposed or approved content; otherwise of the content that the operator reviewed
 * @param replaces the hash of the content that an edit replaces; {@link ContentHash#NONE} for other commands
 * @param content the proposed rows; empty for commands that carry none
 * @param reason the operator's reason
 * @param at the wall-clock time stated by the operator, informational only
 * @param signature the signature over {@link #signedText()}, in Base64; empty before signing
 */
public record ChangeCommand(
        ChangeCommandKind kind,
        String operation,
        OperatorName operator,
        ChangeId change,
        long base,
        ContentHash hash,
        ContentHash replaces,
        TableContent content,
        String reason,
        String at,
        String signature) {

    /** Validates the components. */
    public ChangeCommand {
        Objects.requireNonNull(kind, "kind");
        Checks.notBlank("operation", operation);
        Objects.requireNonNull(operator, "operator");
        Objects.requireNonNull(change, "change");
        Checks.notNegative("base", base);
        Objects.requireNonNull(hash, "hash");
        Objects.requireNonNull(replaces, "replaces");
        Objects.requireNonNull(content, "content");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(at, "at");
        Objects.requireNonNull(signature, "signature");
    }

    /**
     * Returns the text that the operator signs. The content is covered by its hash.
     *
     * @return the text to sign
     */
    public SignedText signedText() {
        return SignedText.of("verbenamast-change-1")
                .with("command", kind)
                .with("operation", operation)
                .with("operator", operator)
                .with("change", change)
                .with("base", base)
                .with("hash", hash)
                .with("replaces", replaces)
                .with("reason", reason)
                .with("at", at);
    }

    /**
     * Returns a copy of this command with the given signature.
     *
     * @param newSignature the signature in Base64
     * @return the signed command
     */
    public ChangeCommand withSignature(String newSignature) {
        return new ChangeCommand(
                kind, operation, operator, change, base, hash, replaces, content, reason, at, newSignature);
    }
}
