package org.verbenamast.core.store;

import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * The key of a row.
 *
 * @param table the table
 * @param id the id of the row within the table
 */
public record RowKey(TableName table, String id) {

    /** Rejects nulls and a blank id. */
    public RowKey {
        Objects.requireNonNull(table, "table");
        Checks.notBlank("id", id);
    }

    @Override
    public String toString() {
        return table + "/" + id;
    }
}
