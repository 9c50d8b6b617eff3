package org.verbenamast.core.table;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.store.RowWrite;

/**
 * The result of a command on a change of the table, before it is written.
 *
 * @param writes the rows to write in one transaction; empty if the command changes nothing
 * @param answer the answer to send once the transaction is committed, or at once if there is nothing to write
 */
public record ChangeDecision(List<RowWrite> writes, CommandAnswer answer) {

    /** Validates the components and copies the list. */
    public ChangeDecision {
        writes = List.copyOf(writes);
        Objects.requireNonNull(answer, "answer");
    }
}
