package org.verbenamast.core.store;

import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * A row as the table service stores it.
 *
 * @param key the key
 * @param version the version: 1 for a new row, one more with each write
 * @param value the content of the row
 */
public record Row(RowKey key, long version, RowValue value) {

    /** Rejects nulls and a version below 1. */
    public Row {
        Objects.requireNonNull(key, "key");
        Checks.positive("version", version);
        Objects.requireNonNull(value, "value");
    }
}
