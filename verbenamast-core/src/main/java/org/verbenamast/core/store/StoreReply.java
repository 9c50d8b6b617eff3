package org.verbenamast.core.store;

import java.util.List;
import java.util.Objects;

/** The outcome of a request to the table service. */
public sealed interface StoreReply {

    /**
     * The rows that a read returned.
     *
     * @param rows the rows; empty if none match
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
     * @param rows the rows as the transaction wrote them
     */
    record Committed(List<Row> rows) implements StoreReply {

        /** Copies the list. */
        public Committed {
            rows = List.copyOf(rows);
        }
    }

    /**
     * A transaction did not take effect because a row had another version. Or the transaction did take effect, its
     * reply was lost, and later writes of others replaced its rows. In both cases the rows show the current state.
     *
     * @param rows the current rows under the keys of the transaction, as far as they exist
     */
    record Conflicted(List<Row> rows) implements StoreReply {

        /** Copies the list. */
        public Conflicted {
            rows = List.copyOf(rows);
        }
    }

    /**
     * The table service returned no usable reply.
     *
     * @param failure the kind of failure
     */
    record Failed(StoreFailure failure) implements StoreReply {

        /** Requires the failure. */
        public Failed {
            Objects.requireNonNull(failure, "failure");
        }
    }
}
