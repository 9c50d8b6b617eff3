package org.verbenamast.wire;

import java.util.List;

import org.verbenamast.core.store.Row;

/**
 * The rows of a message or a reply. One that can't be read does not keep the others from being used.
 *
 * @param rows the rows that could be read
 * @param refused what was wrong with the others
 */
public record ReadRows(List<Row> rows, List<WireException> refused) {

    /** Copies the lists. */
    public ReadRows {
        rows = List.copyOf(rows);
        refused = List.copyOf(refused);
    }
}
