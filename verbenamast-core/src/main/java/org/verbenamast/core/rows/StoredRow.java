package org.verbenamast.core.rows;

import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.check.Checks;

/**
 * A row as it was read.
 *
 * @param ref the row's name
 * @param version the version, from a counter of the whole store; 0 where the row never was
 * @param content what the row holds, or nothing where the row does not exist
 */
public record StoredRow(RowRef ref, long version, Optional<RowContent> content) {

    /** Checks the fields. */
    public StoredRow {
        Objects.requireNonNull(ref, "ref");
        Checks.notNegative("version", version);
        Objects.requireNonNull(content, "content");
    }

    /**
     * Returns the version to expect when the row is changed: 0 for one that does not exist.
     *
     * @return the version
     */
    public long expectedVersion() {
        return content.isEmpty() ? 0 : version;
    }
}
