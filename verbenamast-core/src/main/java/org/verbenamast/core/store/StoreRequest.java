package org.verbenamast.core.store;

import java.util.List;
import java.util.Objects;

/** What may be asked of the table service. */
public sealed interface StoreRequest {

    /**
     * Reads one row.
     *
     * @param key the key
     */
    record ReadRow(RowKey key) implements StoreRequest {

        /** Checks the key. */
        public ReadRow {
            Objects.requireNonNull(key, "key");
        }
    }

    /**
     * Reads all rows of a table.
     *
     * @param table the table
     */
    record ScanTable(TableName table) implements StoreRequest {

        /** Checks the table. */
        public ScanTable {
            Objects.requireNonNull(table, "table");
        }
    }

    /**
     * Writes rows, all or none, where every one has the expected version.
     *
     * @param writes the rows; each value carries the operation's id
     */
    record Commit(List<RowWrite> writes) implements StoreRequest {

        /** Copies the list. */
        public Commit {
            writes = List.copyOf(writes);
        }
    }
}
