package org.verbenamast.core.table;

import java.util.Comparator;
import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.store.RowKey;
import org.verbenamast.core.store.RowValue;
import org.verbenamast.core.store.TableName;

/**
 * An operator's signed mark, which takes an availability zone or a backend server out of service or returns it.
 *
 * @param subject the availability zone or backend server
 * @param state whether the subject is in service
 * @param counter a positive number that increases with each mark of the subject
 * @param operator the operator who set the mark
 * @param reason the operator's reason
 * @param at the wall-clock time stated by the operator, informational only
 * @param operation the id of the command
 * @param signature the signature over {@link #signedText()}, in Base64; empty before signing
 */
public record MarkRow(
        MarkSubject subject,
        MarkState state,
        long counter,
        OperatorName operator,
        String reason,
        String at,
        String operation,
        String signature)
        implements RowValue {

    private static final Comparator<MarkRow> ORDER = Comparator.comparingLong(MarkRow::counter)
            .thenComparing(MarkRow::state)
            .thenComparing(MarkRow::operation);

    /** Validates the components. */
    public MarkRow {
        Objects.requireNonNull(subject, "subject");
        Objects.requireNonNull(state, "state");
        Checks.positive("counter", counter);
        Objects.requireNonNull(operator, "operator");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(at, "at");
        Checks.notBlank("operation", operation);
        Objects.requireNonNull(signature, "signature");
    }

    /**
     * Returns the key of the row of a subject.
     *
     * @param subject the subject of the mark
     * @return the key in the table of marks
     */
    public static RowKey keyOf(MarkSubject subject) {
        return new RowKey(TableName.MARKS, subject.toString());
    }

    /**
     * Returns whether this mark replaces another mark of the same subject. The higher counter wins; with equal
     * counters, the mark that takes the subject out of service wins, then the greater operation id.
     *
     * @param other the other mark, or null if there is none
     * @return whether this mark is newer
     */
    public boolean newerThan(MarkRow other) {
        return other == null || ORDER.compare(this, other) > 0;
    }

    /**
     * Returns the text that the operator signs.
     *
     * @return the text to sign
     */
    public SignedText signedText() {
        return SignedText.of("verbenamast-mark-1")
                .with("subject", subject)
                .with("state", state)
                .with("counter", counter)
                .with("operator", operator)
                .with("reason", reason)
                .with("at", at)
                .with("operation", operation);
    }

    /**
     * Returns a copy of this mark with the given signature.
     *
     * @param newSignature the signature in Base64
     * @return the signed mark
     */
    public MarkRow withSignature(String newSignature) {
        return new MarkRow(subject, state, counter, operator, reason, at, operation, newSignature);
    }
}
