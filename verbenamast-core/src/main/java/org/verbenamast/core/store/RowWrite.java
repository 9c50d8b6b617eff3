package org.verbenamast.core.store;

import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * One row of a transaction.
 *
 * @param key the key
 * @param expectedVersion the version that the row must have, or 0 where it must not exist
 * @param value what the row is to hold
 */
public record RowWrite(RowKey key, long expectedVersion, RowValue value) {

    /** Checks the parts. */
    public RowWrite {
        Objects.requireNonNull(key, "key");
        Checks.notNegative("expectedVersion", expectedVersion);
        Objects.requireNonNull(value, "value");
    }
}
