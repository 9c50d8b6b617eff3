package org.verbenamast.core.rows;

import java.util.List;
import java.util.Objects;

/**
 * What a row writer has asked of the store.
 *
 * @param purpose whose rows are written
 * @param callId the number of the last call
 * @param changes the last changes
 * @param replica the rows that the node knows
 */
public record RowWriterData(StorePurpose purpose, long callId, List<RowChange> changes, RowReplica replica) {

    /** Checks the fields and copies the list. */
    public RowWriterData {
        Objects.requireNonNull(purpose, "purpose");
        changes = List.copyOf(changes);
        Objects.requireNonNull(replica, "replica");
    }

    RowWriterData withCommit(List<RowChange> next) {
        return new RowWriterData(purpose, callId + 1, next, replica);
    }

    RowWriterData withRead() {
        return new RowWriterData(purpose, callId + 1, changes, replica);
    }
}
