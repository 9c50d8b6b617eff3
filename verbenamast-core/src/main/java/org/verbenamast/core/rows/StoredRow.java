package org.verbenamast.core.rows;

import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.check.Checks;

/**
 * A version of a row.
 *
 * @param ref identifies the row
 * @param version the version, from a counter of the whole store; 0 where the row never existed
 * @param content the content, or nothing where the row does not exist
 */
public record StoredRow(RowRef ref, long version, Optional<RowContent> content) {

    /** Checks that no field is missing and the version not negative. */
    public StoredRow {
        Objects.requireNonNull(ref, "ref");
        Checks.notNegative("version", version);
        Objects.requireNonNull(content, "content");
    }

    /**
     * Returns the version to expect in a change of this row: 0 where the row does not exist, since a deleted row keeps
     * a version.
     *
     * @return the expected version
     */
    public long expectedVersion() {
        return content.isEmpty() ? 0 : version;
    }

    /**
     * Returns whether the row has a content that this node understands.
     *
     * @return false if the row does not exist or can't be decoded
     */
    public boolean isReadable() {
        return content.isPresent() && content.get() != UnreadableRow.INSTANCE;
    }

    /**
     * Returns whether the row exists but has a content that can't be decoded.
     *
     * @return false if the row does not exist or is readable
     */
    public boolean isUnreadable() {
        return content.isPresent() && !isReadable();
    }
}
