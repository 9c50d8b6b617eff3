package org.verbenamast.core.rows;

import java.util.List;

/**
 * The input of a row writer's events.
 *
 * @param changes what is to be written, where the event is a review
 * @param version the version of a commit, or 0
 * @param rows rows that came with an answer
 */
public record RowWriterInput(List<RowChange> changes, long version, List<StoredRow> rows) {

    static final RowWriterInput NONE = new RowWriterInput(List.of(), 0, List.of());

    /** Copies the lists. */
    public RowWriterInput {
        changes = List.copyOf(changes);
        rows = List.copyOf(rows);
    }
}
