package org.verbenamast.core.table;

import java.util.List;

import io.vavr.control.Either;

/**
 * The operators listed in the settings.
 *
 * @param list the operators of both organisations
 */
public record Operators(List<Operator> list) {

    /** No operators: every command is refused. */
    public static final Operators NONE = new Operators(List.of());

    /** Copies the list. */
    public Operators {
        list = List.copyOf(list);
    }

    /**
     * Authenticates a command by its signature.
     *
     * @param name the operator named in the command
     * @param text the text that was signed
     * @param signature the signature in Base64
     * @return the operator, or the fault if the operator is unknown or the signature is invalid
     */
    public Either<CommandFault, Operator> authenticate(OperatorName name, SignedText text, String signature) {
        for (Operator operator : list) {
            if (operator.name().equals(name)) {
                return operator.publicKey().verifies(text, signature)
                        ? Either.right(operator)
                        : Either.left(CommandFault.shouldBeSignedByOperator(name));
            }
        }
        return Either.left(CommandFault.shouldNameKnownOperator(name));
    }
}
