package org.verbenamast.core.store;

import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * A row as the table service has it.
 *
 * @param key the key
 * @param version the version, which only grows; 1 for a new row
 * @param value what the row holds
 */
public record Row(RowKey key, long version, RowValue value) {

    /** Checks the parts. */
    public Row {
        Objects.requireNonNull(key, "key");
        Checks.positive("version", version);
        Objects.requireNonNull(value, "value");
    }
}
