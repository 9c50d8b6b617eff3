package org.verbenamast.core.rows;

import java.util.List;
import java.util.Objects;

/**
 * The state of a row writer: its last call to the store.
 *
 * @param purpose the part of the node whose rows are written
 * @param callId the number of the last call; results of earlier calls are ignored
 * @param changes the changes of the last transaction
 * @param replica the rows that the node knows
 */
public record RowWriterData(StorePurpose purpose, long callId, List<RowChange> changes, RowReplica replica) {

    /** Checks the fields and copies the list. */
    public RowWriterData {
        Objects.requireNonNull(purpose, "purpose");
        changes = List.copyOf(changes);
        Objects.requireNonNull(replica, "replica");
    }

    RowWriterData withCommit(List<RowChange> newChanges) {
        return new RowWriterData(purpose, callId + 1, newChanges, replica);
    }

    RowWriterData withRead() {
        return new RowWriterData(purpose, callId + 1, changes, replica);
    }
}
