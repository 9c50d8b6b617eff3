package org.verbenamast.core.message;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.store.RowKey;

/**
 * The latest version of a row that a member knows.
 *
 * @param key the row's key
 * @param version the version, from the table service; always positive
 */
public record RowVersion(RowKey key, long version) {

    /** Checks the key and that the version is positive. */
    public RowVersion {
        Objects.requireNonNull(key, "key");
        Checks.positive("version", version);
    }
}
