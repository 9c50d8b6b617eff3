package org.verbenamast.core.table;

import java.util.Objects;

/**
 * The data of an operator's command on a change of the table.
 *
 * @param callId the id of the operator's call that waits for the answer
 * @param command the command to carry out
 * @param attempts the number of failed attempts so far
 * @param decision the decision made from the rows read last; null before the first
 * @param mayHaveEffect whether the transaction of an earlier attempt may have taken effect
 * @param controller calls the table service
 */
public record CommandData(
        long callId,
        ChangeCommand command,
        int attempts,
        ChangeDecision decision,
        boolean mayHaveEffect,
        CommandController controller) {

    /** Validates the components. */
    public CommandData {
        Objects.requireNonNull(command, "command");
        Objects.requireNonNull(controller, "controller");
    }

    CommandData withDecision(ChangeDecision newDecision) {
        return new CommandData(callId, command, attempts, newDecision, mayHaveEffect, controller);
    }

    CommandData withFailedAttempt(boolean effectUnknown) {
        return new CommandData(callId, command, attempts + 1, decision, mayHaveEffect || effectUnknown, controller);
    }
}
