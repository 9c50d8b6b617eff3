package org.verbenamast.core.rows;

import java.util.Optional;

/** The decoded content of a row: a member, a key map, a key lease or crash reports. */
public interface RowContent {

    /**
     * Returns whether this content stays believed when the store, which has come back from an older copy, has another
     * one.
     *
     * @param stored the content that the store has; empty if it does not have the row
     * @return whether the store has certainly lost this content
     */
    default boolean outlasts(Optional<RowContent> stored) {
        return false;
    }
}
