package org.verbenamast.core.table;

import java.util.Objects;

/**
 * The input of an event of the chart {@code change}.
 *
 * @param command the command behind the event
 * @param operator the operator who issued it, verified by the signature
 */
public record ChangeInput(ChangeCommand command, Operator operator) {

    /** Validates the components. */
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
