package org.verbenamast.core.table;

import java.util.Objects;

/**
 * A mark in force at this node, as reported to operators.
 *
 * @param mark the mark
 * @param durable whether the table service is known to store it
 */
public record MarkStatus(MarkRow mark, boolean durable) {

    /** Validates the mark. */
    public MarkStatus {
        Objects.requireNonNull(mark, "mark");
    }
}
