package org.verbenamast.core.client.pipeline;

import java.util.Objects;
import java.util.function.BooleanSupplier;

import org.verbenamast.core.check.Checks;

/**
 * The input of an event of a caller's connection.
 *
 * @param persistent whether the request leaves the connection open, and no answer to it ends the connection
 * @param last whether the request, or the answer, is the last one on the connection
 * @param repeatable tells whether the request may run more than once; asked only where it matters
 * @param heldBytes what the node holds for the connection's earlier requests, in bytes
 * @param stopping whether the node is stopping
 */
public record PipelineInput(
        boolean persistent, boolean last, BooleanSupplier repeatable, long heldBytes, boolean stopping) {

    /** The input of an event without any. */
    static final PipelineInput NONE = new PipelineInput(true, false, () -> false, 0, false);

    /** Checks the fields. */
    public PipelineInput {
        Objects.requireNonNull(repeatable, "repeatable");
        Checks.notNegative("heldBytes", heldBytes);
    }

    /**
     * Creates the input of an answer that is about to be sent.
     *
     * @param last whether only the end of the connection can end the answer, or its request asked for that end
     * @param stopping whether the node is stopping
     * @return the input
     */
    static PipelineInput answering(boolean last, boolean stopping) {
        return new PipelineInput(true, last, () -> false, 0, stopping);
    }
}
