package org.verbenamast.core.watch;

import java.util.Objects;
import java.util.Optional;

/**
 * The input of the events of the store's era. A field is 0 or empty where it does not apply to the event.
 *
 * @param era the new era
 * @param table the table that has been read
 */
public record EraInput(long era, Optional<FollowedTable> table) {

    static final EraInput NONE = new EraInput(0, Optional.empty());

    /** Checks that the table is not null. */
    public EraInput {
        Objects.requireNonNull(table, "table");
    }
}
