package org.verbenamast.core.store;

import java.util.List;
import java.util.Objects;

/** How a request to the table service ended. */
public sealed interface StoreReply {

    /**
     * The rows that a read found.
     *
     * @param rows the rows; empty where there are none
     */
    record RowsRead(List<Row> rows) implements StoreReply {

        /** Copies the list. */
        public RowsRead {
            rows = List.copyOf(rows);
        }
    }

    /**
     * A transaction took effect.
     *
     * @param rows the rows as they are now
     */
    record Committed(List<Row> rows) implements StoreReply {

        /** Copies the list. */
        public Committed {
            rows = List.copyOf(rows);
        }
    }

    /**
     * A transaction did not take effect since a row had another version, or it did after a reply was lost, and later
     * writes of others have replaced what it wrote. The rows show what holds now.
     *
     * @param rows the present rows of the transaction, as far as they exist
     */
    record Conflicted(List<Row> rows) implements StoreReply {

        /** Copies the list. */
        public Conflicted {
            rows = List.copyOf(rows);
        }
    }

    /**
     * The table service gave no usable answer.
     *
     * @param failure what went wrong
     */
    record Failed(StoreFailure failure) implements StoreReply {

        /** Checks the failure. */
        public Failed {
            Objects.requireNonNull(failure, "failure");
        }
    }
}
