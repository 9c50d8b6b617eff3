package org.verbenamast.core.rows;

import java.util.List;

/**
 * The input of a row writer's events. A field is empty or 0 where it does not apply to the event.
 *
 * @param changes the changes that a review found to be needed
 * @param version the version of a commit
 * @param rows the rows in the store's answer
 */
public record RowWriterInput(List<RowChange> changes, long version, List<StoredRow> rows) {

    static final RowWriterInput NONE = new RowWriterInput(List.of(), 0, List.of());

    /** Copies the lists. */
    public RowWriterInput {
        changes = List.copyOf(changes);
        rows = List.copyOf(rows);
    }
}
