package org.verbenamast.core.watch;

import java.util.Objects;

/**
 * How far a table was followed.
 *
 * @param table the table
 * @param version the version after which changes are wanted
 * @param ticket the number of the last call
 * @param failures the failed calls in a row
 */
public record FollowData(Followed table, long version, long ticket, int failures) {

    /** Checks the table. */
    public FollowData {
        Objects.requireNonNull(table, "table");
    }

    FollowData calling() {
        return new FollowData(table, version, ticket + 1, failures);
    }

    FollowData reached(long newVersion) {
        return new FollowData(table, Math.max(version, newVersion), ticket, 0);
    }

    FollowData failed() {
        return new FollowData(table, version, ticket, failures + 1);
    }
}
