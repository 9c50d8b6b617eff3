package org.verbenamast.core.table;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.store.RowWrite;

/**
 * What a command does to a change of the table.
 *
 * @param writes the rows of one transaction; empty where the command changes nothing
 * @param answer the answer once the transaction has taken effect
 */
public record ChangeDecision(List<RowWrite> writes, CommandAnswer answer) {

    /** Checks the parts and copies the list. */
    public ChangeDecision {
        writes = List.copyOf(writes);
        Objects.requireNonNull(answer, "answer");
    }
}
