package org.verbenamast.core.table;

import java.util.List;

import io.vavr.control.Either;

/**
 * The operators whom the settings name.
 *
 * @param list the operators
 */
public record Operators(List<Operator> list) {

    /** Nobody: every command is refused. */
    public static final Operators NONE = new Operators(List.of());

    /** Copies the list. */
    public Operators {
        list = List.copyOf(list);
    }

    /**
     * Finds who signed a command.
     *
     * @param name the operator whom the command names
     * @param text the text that was signed
     * @param signature the signature in Base64
     * @return the operator, or why the command is not that operator's
     */
    public Either<CommandFault, Operator> signer(OperatorName name, SignedText text, String signature) {
        for (Operator operator : list) {
            if (operator.name().equals(name)) {
                return operator.publicKey().verifies(text, signature)
                        ? Either.right(operator)
                        : Either.left(CommandFault.shouldBeSignedByItsOperator(name));
            }
        }
        return Either.left(CommandFault.shouldNameKnownOperator(name));
    }
}
