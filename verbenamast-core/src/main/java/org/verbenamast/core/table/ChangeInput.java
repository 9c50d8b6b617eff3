package org.verbenamast.core.table;

import java.util.Objects;

/**
 * What an event tells a change of the table.
 *
 * @param command the command
 * @param operator who gave it, proved by the signature
 */
public record ChangeInput(ChangeCommand command, Operator operator) {

    /** Checks the parts. */
    public ChangeInput {
        Objects.requireNonNull(command, "command");
        Objects.requireNonNull(operator, "operator");
    }

    ChangeStep step() {
        return new ChangeStep(
                command.kind(),
                operator.name(),
                operator.organisation(),
                command.hash(),
                command.reason(),
                command.at(),
                command.operation());
    }

    Approval approval() {
        return new Approval(
                operator.name(),
                operator.organisation(),
                command.hash(),
                command.at(),
                command.operation(),
                command.signature());
    }
}
