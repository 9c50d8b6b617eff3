package org.verbenamast.core.watch;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.effect.Effect;

/** Calls to the store that a followed table requires. */
public sealed interface FollowEffect extends Effect.RelayEffect {

    /** Time for the store to begin an answer, in milliseconds; hundreds of times its usual response time. */
    long ANSWER_MARGIN_MILLIS = 1_000;

    /**
     * Reads all rows of a table.
     *
     * @param table the table
     * @param callId the number of the call
     * @param failures the number of consecutive failed calls before this one
     */
    record ReadAll(FollowedTable table, long callId, int failures) implements FollowEffect {

        /** Checks that the table is present and the number of failures not negative. */
        public ReadAll {
            Objects.requireNonNull(table, "table");
            Checks.notNegative("failures", failures);
        }

        /**
         * Returns the time within which the answer, or its next bytes, have to arrive. After a failure it is longer,
         * so that a store which is slow for all is not asked faster than it can answer.
         *
         * @return the time after which the call is considered lost, in milliseconds
         */
        public long timeoutMillis() {
            return failures == 0 ? ANSWER_MARGIN_MILLIS : ANSWER_MARGIN_MILLIS + ANSWER_MARGIN_MILLIS / 2;
        }
    }

    /**
     * Waits for changes of a table.
     *
     * @param table the table
     * @param afterVersion the version after which changes are requested
     * @param waitMillis how long the store may wait for a change before it answers, in milliseconds
     * @param callId the number of the call
     * @param maxBytes the length from which on an answer is not received, in bytes
     */
    record Await(FollowedTable table, long afterVersion, long waitMillis, long callId, long maxBytes)
            implements FollowEffect {

        /** Checks that the table is present, and that the wait and the length are positive. */
        public Await {
            Objects.requireNonNull(table, "table");
            Checks.positive("waitMillis", waitMillis);
            Checks.positive("maxBytes", maxBytes);
        }

        /**
         * Returns the time within which the answer has to begin to arrive.
         *
         * @return the time after which the call is considered lost, in milliseconds
         */
        public long timeoutMillis() {
            return waitMillis + ANSWER_MARGIN_MILLIS;
        }
    }

    /**
     * Cancels a call that waits for changes. Its answer is not needed.
     *
     * @param table the table
     * @param callId the number of the call
     */
    record Cancel(FollowedTable table, long callId) implements FollowEffect {

        /** Checks that the table is present. */
        public Cancel {
            Objects.requireNonNull(table, "table");
        }
    }
}
