package org.verbenamast.core.rows;

import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * Names a row.
 *
 * @param table the table
 * @param key the row's key in its table
 */
public record RowRef(RowTable table, String key) {

    /** Checks the fields. */
    public RowRef {
        Objects.requireNonNull(table, "table");
        Checks.notBlank("key", key);
    }
}
