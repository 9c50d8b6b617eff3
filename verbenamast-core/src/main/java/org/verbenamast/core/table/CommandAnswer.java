package org.verbenamast.core.table;

import java.util.List;
import java.util.Objects;

/**
 * The answer to an operator's command.
 *
 * @param outcome how it ended
 * @param subject the change or what was marked
 * @param state the state after the command
 * @param version the version of the table in force, as far as it is known
 * @param fault why it was refused, or null where it was not
 * @param rows the faults of single rows
 */
public record CommandAnswer(
        CommandOutcome outcome, String subject, String state, long version, CommandFault fault, List<TableFault> rows) {

    /** Checks the parts and copies the list. */
    public CommandAnswer {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(subject, "subject");
        Objects.requireNonNull(state, "state");
        rows = List.copyOf(rows);
    }

    /**
     * Answers a command that was not carried out.
     *
     * @param subject what it was about
     * @param state the state, which the command did not change
     * @param version the version of the table in force
     * @param fault why
     * @return the answer
     */
    public static CommandAnswer refused(String subject, String state, long version, CommandFault fault) {
        boolean unknown = fault.kind() == CommandFaultKind.EFFECT_UNKNOWN;
        CommandOutcome outcome = unknown ? CommandOutcome.UNKNOWN : CommandOutcome.REFUSED;
        return new CommandAnswer(outcome, subject, state, version, fault, List.of());
    }

    /**
     * Answers a command that took effect.
     *
     * @param outcome how it ended
     * @param subject what it was about
     * @param state the state after it
     * @param version the version of the table in force
     * @return the answer
     */
    public static CommandAnswer took(CommandOutcome outcome, String subject, String state, long version) {
        return new CommandAnswer(outcome, subject, state, version, null, List.of());
    }
}
