package org.verbenamast.core.table;

import java.util.Objects;

/**
 * Why an operator's command was not carried out.
 *
 * @param kind the kind of fault
 * @param message what is wrong, for people
 */
public record CommandFault(CommandFaultKind kind, String message) {

    /** Checks the parts. */
    public CommandFault {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(message, "message");
    }

    private static CommandFault of(CommandFaultKind kind, String form, Object... values) {
        return new CommandFault(kind, form.formatted(values));
    }

    static CommandFault shouldNameKnownOperator(OperatorName name) {
        return of(CommandFaultKind.UNKNOWN_OPERATOR, "operator <%s> should be listed in the nodes' settings", name);
    }

    static CommandFault shouldBeSignedByItsOperator(OperatorName name) {
        return of(CommandFaultKind.BAD_SIGNATURE, "the command should carry a valid signature of <%s>", name);
    }

    static CommandFault shouldCarryItsContent(ContentHash signed, ContentHash found) {
        return of(
                CommandFaultKind.HASH_MISMATCH,
                "the content should have the signed hash <%s> but has <%s>",
                signed.brief(),
                found.brief());
    }

    static CommandFault shouldStandOnPresentVersion(long base, long present) {
        return of(
                CommandFaultKind.STALE_BASE,
                "the change should stand on the present version <%d> of the table but stands on <%d>",
                present,
                base);
    }

    static CommandFault shouldBeForPresentContent(ContentHash signed, ContentHash present) {
        return of(
                CommandFaultKind.OTHER_CONTENT,
                "the command should be for the present content <%s> of the change but is for <%s>",
                present.brief(),
                signed.brief());
    }

    static CommandFault shouldBeSignedByOtherOrganisation(Organisation organisation) {
        return of(
                CommandFaultKind.ALREADY_SIGNED,
                "the other organisation should sign off: <%s> has signed this content already",
                organisation);
    }

    static CommandFault shouldComeFrom(String who, Organisation organisation) {
        return of(
                CommandFaultKind.WRONG_ORGANISATION,
                "the command should come from %s but came from <%s>",
                who,
                organisation);
    }

    static CommandFault shouldBeOpen(ChangeId change, String state) {
        return of(CommandFaultKind.NOT_OPEN, "change <%s> should be open but is <%s>", change, state);
    }

    static CommandFault shouldBeNew(ChangeId change) {
        return of(CommandFaultKind.CHANGE_EXISTS, "change <%s> should be new but exists", change);
    }

    static CommandFault shouldExist(ChangeId change) {
        return of(CommandFaultKind.UNKNOWN_CHANGE, "change <%s> should exist", change);
    }

    static CommandFault shouldHaveFewSteps(ChangeId change) {
        return of(
                CommandFaultKind.TOO_MANY_STEPS,
                "change <%s> should have at most <%d> steps; propose a new one",
                change,
                ChangeRow.MAX_STEPS);
    }

    static CommandFault shouldHaveSoundRows(int faults) {
        return of(CommandFaultKind.BAD_ROWS, "the rows should have no faults but have <%d>", faults);
    }

    static CommandFault shouldBeNewerMark(MarkSubject subject, long counter, long known) {
        return of(
                CommandFaultKind.STALE_MARK,
                "the mark of %s should have a counter above <%d> but has <%d>",
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

    static CommandFault shouldMeetNoOthers() {
        return of(
                CommandFaultKind.CONTENDED,
                "no other command should change the same rows at the same time; this one had no effect: send it again");
    }

    static CommandFault shouldLearnEffect() {
        return of(
                CommandFaultKind.EFFECT_UNKNOWN,
                "the platform's table service should answer; the command may have had its effect: send it again");
    }
}
