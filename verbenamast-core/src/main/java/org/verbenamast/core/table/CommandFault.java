package org.verbenamast.core.table;

import java.util.Objects;

/**
 * The reason why an operator's command was refused or its effect is unknown.
 *
 * @param kind the kind of fault
 * @param message a message for the operator: what was expected and what was found
 */
public record CommandFault(CommandFaultKind kind, String message) {

    /** Validates the components. */
    public CommandFault {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(message, "message");
    }

    private static CommandFault of(CommandFaultKind kind, String format, Object... values) {
        return new CommandFault(kind, format.formatted(values));
    }

    static CommandFault shouldNameKnownOperator(OperatorName name) {
        return of(CommandFaultKind.UNKNOWN_OPERATOR, "operator <%s> should be listed in the nodes' settings", name);
    }

    static CommandFault shouldBeSignedByOperator(OperatorName name) {
        return of(CommandFaultKind.BAD_SIGNATURE, "the command should carry a valid signature of <%s>", name);
    }

    static CommandFault shouldMatchSignedHash(ContentHash signed, ContentHash actual) {
        return of(
                CommandFaultKind.HASH_MISMATCH,
                "the content should have the signed hash <%s> but has <%s>",
                signed.abbreviated(),
                actual.abbreviated());
    }

    static CommandFault shouldBeBasedOnCurrentVersion(long base, long current) {
        return of(
                CommandFaultKind.STALE_BASE,
                "the change should be based on the current version <%d> of the table but is based on <%d>",
                current,
                base);
    }

    static CommandFault shouldReferToCurrentContent(ContentHash referenced, ContentHash current) {
        return of(
                CommandFaultKind.OTHER_CONTENT,
                "the command should refer to the current content <%s> of the change but refers to <%s>",
                current.abbreviated(),
                referenced.abbreviated());
    }

    static CommandFault shouldBeSignedByOtherOrganisation(Organisation organisation) {
        return of(
                CommandFaultKind.ALREADY_SIGNED,
                "the other organisation should sign off: <%s> has signed this content already",
                organisation);
    }

    static CommandFault shouldComeFrom(String expected, Organisation actual) {
        return of(
                CommandFaultKind.WRONG_ORGANISATION,
                "the command should come from %s but came from <%s>",
                expected,
                actual);
    }

    static CommandFault shouldBeOpen(ChangeId change, String state) {
        return of(CommandFaultKind.NOT_OPEN, "change <%s> should be open but is <%s>", change, state);
    }

    static CommandFault shouldBeNew(ChangeId change) {
        return of(CommandFaultKind.CHANGE_EXISTS, "change <%s> should be new but already exists", change);
    }

    static CommandFault shouldExist(ChangeId change) {
        return of(CommandFaultKind.UNKNOWN_CHANGE, "change <%s> should exist", change);
    }

    static CommandFault shouldNotExceedMaxSteps(ChangeId change) {
        return of(
                CommandFaultKind.TOO_MANY_STEPS,
                "change <%s> should have at most <%d> steps; propose a new change",
                change,
                ChangeRow.MAX_STEPS);
    }

    static CommandFault shouldHaveValidRows(int faults) {
        return of(CommandFaultKind.BAD_ROWS, "the rows should have no faults but have <%d>", faults);
    }

    static CommandFault shouldBeNewerMark(MarkSubject subject, long counter, long known) {
        return of(
                CommandFaultKind.STALE_MARK,
                "the mark of %s should have a counter greater than <%d> but has <%d>",
                subject,
                known,
                counter);
    }

    static CommandFault shouldNameKnownSubject(MarkSubject subject) {
        return of(CommandFaultKind.UNKNOWN_SUBJECT, "%s should be known to the fleet", subject);
    }

    static CommandFault shouldReachStore() {
        return of(
                CommandFaultKind.STORE_UNAVAILABLE,
                "the platform's table service should answer; the command had no effect");
    }

    static CommandFault shouldNotConflict() {
        return of(
                CommandFaultKind.CONTENDED,
                "no other command should change the same rows at the same time; this one had no effect: send it again");
    }

    static CommandFault shouldHaveKnownEffect() {
        return of(
                CommandFaultKind.EFFECT_UNKNOWN,
                "the platform's table service should answer; the command may have taken effect: send it again");
    }
}
