package org.verbenamast.core.watch;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.effect.Effect;

/** Calls to the store that following a table takes. */
public sealed interface FollowEffect extends Effect.RelayEffect {

    /**
     * Reads all rows.
     *
     * @param table the table
     * @param ticket the call's number
     */
    record ReadAll(FollowedTable table, long ticket) implements FollowEffect {

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
     * @param waitMillis how long the store may wait for a change before it answers, in milliseconds
     * @param ticket the call's number
     */
    record Await(FollowedTable table, long after, long waitMillis, long ticket) implements FollowEffect {

        /** Checks the table. */
        public Await {
            Objects.requireNonNull(table, "table");
            Checks.positive("waitMillis", waitMillis);
        }

        /**
         * Returns after which time the call counts as lost.
         *
         * @return the time, in milliseconds
         */
        public long lostAfterMillis() {
            return waitMillis + LOST_AFTER_MILLIS;
        }
    }

    /** Time beyond its wait after which a call counts as lost, in milliseconds; many times that of a usual call. */
    long LOST_AFTER_MILLIS = 500;
}
