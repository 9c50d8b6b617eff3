package org.verbenamast.core.watch;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.effect.Effect;

/** Calls to the store that a followed table requires. */
public sealed interface FollowEffect extends Effect.RelayEffect {

    /**
     * Reads all rows of a table.
     *
     * @param table the table
     * @param callId the number of the call
     */
    record ReadAll(FollowedTable table, long callId) implements FollowEffect {

        /** Checks that the table is present. */
        public ReadAll {
            Objects.requireNonNull(table, "table");
        }
    }

    /**
     * Waits for changes of a table.
     *
     * @param table the table
     * @param afterVersion the version after which changes are requested
     * @param waitMillis how long the store may wait for a change before it answers, in milliseconds
     * @param callId the number of the call
     */
    record Await(FollowedTable table, long afterVersion, long waitMillis, long callId) implements FollowEffect {

        /** Checks that the table is present and the wait positive. */
        public Await {
            Objects.requireNonNull(table, "table");
            Checks.positive("waitMillis", waitMillis);
        }

        /**
         * Returns the time-out of the call.
         *
         * @return the time after which the call is considered lost, in milliseconds
         */
        public long timeoutMillis() {
            return waitMillis + ANSWER_MARGIN_MILLIS;
        }
    }

    /** Time-out of a call beyond its wait, in milliseconds; many times the duration of a typical call. */
    long ANSWER_MARGIN_MILLIS = 500;
}
