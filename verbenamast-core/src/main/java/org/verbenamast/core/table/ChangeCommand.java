package org.verbenamast.core.table;

import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * An operator's signed command about a change of the table.
 *
 * @param kind what to do
 * @param operation the id of the command, which no other command has
 * @param operator who gives it
 * @param change the change
 * @param base the version of the table on which the content stands
 * @param hash the hash of the content that is proposed or signed off, or on which the command was decided
 * @param replaces the hash of the content that an edit replaces; none for other commands
 * @param content the rows, empty for commands that carry none
 * @param reason why
 * @param at the wall time that the operator states, as information only
 * @param signature the signature in Base64
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

    /** Checks the parts. */
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
     * Returns the text that the operator signs.
     *
     * @return the text
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
     * Returns this command with a signature.
     *
     * @param next the signature in Base64
     * @return the signed command
     */
    public ChangeCommand signed(String next) {
        return new ChangeCommand(kind, operation, operator, change, base, hash, replaces, content, reason, at, next);
    }
}
