package org.verbenamast.core.table;

import java.util.List;
import java.util.Objects;

/**
 * The answer to an operator's command.
 *
 * @param outcome how the command ended
 * @param subject the change, zone or backend server that the command was about
 * @param state the state of the subject after the command; empty if unknown
 * @param version for a change, the known version of the table in force; for a mark, the counter of the mark
 * @param fault why the command was not carried out, or null if it was
 * @param rows the faults found in the rows of a change's content
 */
public record CommandAnswer(
        CommandOutcome outcome, String subject, String state, long version, CommandFault fault, List<TableFault> rows) {

    /** Validates the components and copies the list. */
    public CommandAnswer {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(subject, "subject");
        Objects.requireNonNull(state, "state");
        rows = List.copyOf(rows);
    }

    /**
     * Creates the answer to a command that was refused or whose effect is unknown.
     *
     * @param subject the subject of the command
     * @param state the unchanged state of the subject
     * @param version the version of the table, or the counter of the mark in force
     * @param fault why the command was not carried out
     * @return an answer with the outcome {@code UNKNOWN} or {@code REFUSED}, by the kind of fault
     */
    public static CommandAnswer refused(String subject, String state, long version, CommandFault fault) {
        boolean unknown = fault.kind() == CommandFaultKind.EFFECT_UNKNOWN;
        CommandOutcome outcome = unknown ? CommandOutcome.UNKNOWN : CommandOutcome.REFUSED;
        return new CommandAnswer(outcome, subject, state, version, fault, List.of());
    }

    /**
     * Creates the answer to a command that took effect.
     *
     * @param outcome how the command ended
     * @param subject the subject of the command
     * @param state the state of the subject after the command
     * @param version the version of the table, or the counter of the mark
     * @return an answer without a fault
     */
    public static CommandAnswer applied(CommandOutcome outcome, String subject, String state, long version) {
        return new CommandAnswer(outcome, subject, state, version, null, List.of());
    }
}
