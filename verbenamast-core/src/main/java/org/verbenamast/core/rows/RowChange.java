package org.verbenamast.core.rows;

import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.check.Checks;

/**
 * A conditional change of a row.
 *
 * @param ref identifies the row
 * @param expectedVersion the version that the row must have for the change to apply; 0 where it must not exist
 * @param content the new content, or nothing to delete the row
 */
public record RowChange(RowRef ref, long expectedVersion, Optional<RowContent> content) {

    /** Checks that no field is missing and the version not negative. */
    public RowChange {
        Objects.requireNonNull(ref, "ref");
        Checks.notNegative("expectedVersion", expectedVersion);
        Objects.requireNonNull(content, "content");
    }

    /**
     * Returns the row after the commit of this change.
     *
     * @param version the version of the commit
     * @return the committed row
     */
    public StoredRow committedRow(long version) {
        return new StoredRow(ref, version, content);
    }
}
