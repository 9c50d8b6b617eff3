package org.verbenamast.core.message;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.store.RowKey;

/**
 * The version of a row that a member knows.
 *
 * @param key the row's key
 * @param version the version
 */
public record RowVersion(RowKey key, long version) {

    /** Checks the parts. */
    public RowVersion {
        Objects.requireNonNull(key, "key");
        Checks.positive("version", version);
    }
}
