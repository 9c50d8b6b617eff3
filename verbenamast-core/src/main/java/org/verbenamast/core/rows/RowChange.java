package org.verbenamast.core.rows;

import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.check.Checks;

/**
 * A change of a row under a condition.
 *
 * @param ref the row's name
 * @param expectedVersion the version that the row must have; 0 where it must not exist
 * @param content what the row is to hold, or nothing where it is to be deleted
 */
public record RowChange(RowRef ref, long expectedVersion, Optional<RowContent> content) {

    /** Checks the fields. */
    public RowChange {
        Objects.requireNonNull(ref, "ref");
        Checks.notNegative("expectedVersion", expectedVersion);
        Objects.requireNonNull(content, "content");
    }

    /**
     * Returns the row as it stands once this change is committed.
     *
     * @param version the version of the commit
     * @return the row
     */
    public StoredRow committedRow(long version) {
        return new StoredRow(ref, version, content);
    }
}
