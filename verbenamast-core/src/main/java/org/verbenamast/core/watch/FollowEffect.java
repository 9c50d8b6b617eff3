package org.verbenamast.core.watch;

import java.util.Objects;

import org.verbenamast.core.effect.Effect;

/** Calls to the store that following a table takes. */
public sealed interface FollowEffect extends Effect.Relayed {

    /**
     * Reads all rows.
     *
     * @param table the table
     * @param ticket the call's number
     */
    record ReadAll(Followed table, long ticket) implements FollowEffect {

        /** Checks the table. */
        public ReadAll {
            Objects.requireNonNull(table, "table");
        }
    }

    /**
     * Waits for changes.
     *
     * @param table the table
     * @param after the version after which changes are wanted
     * @param ticket the call's number
     */
    record Await(Followed table, long after, long ticket) implements FollowEffect {

        /** Checks the table. */
        public Await {
            Objects.requireNonNull(table, "table");
        }
    }
}
