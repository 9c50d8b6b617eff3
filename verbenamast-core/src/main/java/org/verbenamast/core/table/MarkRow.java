package org.verbenamast.core.table;

import java.util.Comparator;
import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.store.RowKey;
import org.verbenamast.core.store.RowValue;
import org.verbenamast.core.store.TableName;

/**
 * An operator's signed mark that takes something out of service or brings it back.
 *
 * @param subject what the mark is about
 * @param state whether it is in service
 * @param counter a number that grows with each mark of the subject
 * @param operator who set the mark
 * @param reason why
 * @param at the wall time that the operator stated, as information only
 * @param operation the id of the command
 * @param signature the signature in Base64
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

    /** Checks the parts. */
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
     * Returns the key of a subject's row.
     *
     * @param subject the subject
     * @return the key
     */
    public static RowKey keyOf(MarkSubject subject) {
        return new RowKey(TableName.MARKS, subject.toString());
    }

    /**
     * Tells whether this mark replaces another one of the same subject: the higher counter does, and of two with the
     * same counter the one that takes work away.
     *
     * @param other the other mark, or null where there is none
     * @return whether it does
     */
    public boolean newerThan(MarkRow other) {
        return other == null || ORDER.compare(this, other) > 0;
    }

    /**
     * Returns the text that the operator signs.
     *
     * @return the text
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
     * Returns this mark with a signature.
     *
     * @param next the signature in Base64
     * @return the signed mark
     */
    public MarkRow signed(String next) {
        return new MarkRow(subject, state, counter, operator, reason, at, operation, next);
    }
}
