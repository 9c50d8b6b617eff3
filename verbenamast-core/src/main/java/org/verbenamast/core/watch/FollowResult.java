package org.verbenamast.core.watch;

import java.util.Objects;

/**
 * The end of a call that follows a table.
 *
 * @param table the table
 * @param callId the number of the call
 * @param event the outcome
 * @param input the versions read and whether rows were received
 */
public record FollowResult(FollowedTable table, long callId, FollowEvent event, FollowInput input) {

    /** Checks that no component is null. */
    public FollowResult {
        Objects.requireNonNull(table, "table");
        Objects.requireNonNull(event, "event");
        Objects.requireNonNull(input, "input");
    }

    /**
     * Returns whether the rows of the answer are the whole table, so that those missing were deleted.
     *
     * @return whether the call read the whole table
     */
    public boolean isWholeTable() {
        return event == FollowEvent.READ;
    }
}
