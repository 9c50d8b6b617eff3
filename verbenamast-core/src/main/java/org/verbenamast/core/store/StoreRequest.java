package org.verbenamast.core.store;

import java.util.List;
import java.util.Objects;

/** A request to the table service. */
public sealed interface StoreRequest {

    /**
     * Reads one row.
     *
     * @param key the key
     */
    record ReadRow(RowKey key) implements StoreRequest {

        /** Requires the key. */
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

        /** Requires the table. */
        public ScanTable {
            Objects.requireNonNull(table, "table");
        }
    }

    /**
     * Writes all rows if each has its expected version; otherwise writes none.
     *
     * @param writes the writes; each value carries the id of the operation
     */
    record Commit(List<RowWrite> writes) implements StoreRequest {

        /** Copies the list. */
        public Commit {
            writes = List.copyOf(writes);
        }
    }
}
