package org.verbenamast.core.table;

import java.util.Objects;

/**
 * The data of an operator's command about a change of the table.
 *
 * @param call the number under which the operator waits
 * @param command the command
 * @param tries how often the command was tried without an end
 * @param decision what the command does by the rows read last, or null before
 * @param mayHaveEffect whether a transaction of an earlier try may have taken effect
 * @param desk speaks to the table service
 */
public record CommandData(
        long call,
        ChangeCommand command,
        int tries,
        ChangeDecision decision,
        boolean mayHaveEffect,
        CommandController desk) {

    /** Checks the parts. */
    public CommandData {
        Objects.requireNonNull(command, "command");
        Objects.requireNonNull(desk, "desk");
    }

    CommandData decided(ChangeDecision next) {
        return new CommandData(call, command, tries, next, mayHaveEffect, desk);
    }

    CommandData tried(boolean effectUnknown) {
        return new CommandData(call, command, tries + 1, decision, mayHaveEffect || effectUnknown, desk);
    }
}
