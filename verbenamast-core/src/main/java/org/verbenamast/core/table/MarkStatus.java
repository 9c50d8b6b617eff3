package org.verbenamast.core.table;

import java.util.Objects;

/**
 * A mark in force at a node.
 *
 * @param mark the mark
 * @param durable whether the table service is known to have it
 */
public record MarkStatus(MarkRow mark, boolean durable) {

    /** Checks the mark. */
    public MarkStatus {
        Objects.requireNonNull(mark, "mark");
    }
}
