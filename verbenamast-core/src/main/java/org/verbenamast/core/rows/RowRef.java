package org.verbenamast.core.rows;

import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * Identifies a row.
 *
 * @param table the table
 * @param key the row's key in its table
 */
public record RowRef(RowTable table, String key) {

    /** Checks that the table is present and the key not blank. */
    public RowRef {
        Objects.requireNonNull(table, "table");
        Checks.notBlank("key", key);
    }
}
