package org.verbenamast.core.store;

import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * The write of one row in a transaction.
 *
 * @param key the key
 * @param expectedVersion the version that the row must have, or 0 if it must not exist
 * @param value the new content of the row
 */
public record RowWrite(RowKey key, long expectedVersion, RowValue value) {

    /** Rejects nulls and a negative version. */
    public RowWrite {
        Objects.requireNonNull(key, "key");
        Checks.notNegative("expectedVersion", expectedVersion);
        Objects.requireNonNull(value, "value");
    }
}
