package org.verbenamast.core.rows;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.store.StoreFailure;

/** What became of a call to the store. */
public sealed interface StoreResult {

    /**
     * The transaction took effect.
     *
     * @param version the version that its rows now have
     */
    record Committed(long version) implements StoreResult {}

    /**
     * The transaction did nothing, since a row had another version.
     *
     * @param rows the rows as they are
     */
    record Conflicted(List<StoredRow> rows) implements StoreResult {

        /** Copies the list. */
        public Conflicted {
            rows = List.copyOf(rows);
        }
    }

    /**
     * Rows were read.
     *
     * @param rows the rows, those that do not exist included
     */
    record Read(List<StoredRow> rows) implements StoreResult {

        /** Copies the list. */
        public Read {
            rows = List.copyOf(rows);
        }
    }

    /**
     * The call failed.
     *
     * @param failure how
     */
    record Failed(StoreFailure failure) implements StoreResult {

        /** Checks the failure. */
        public Failed {
            Objects.requireNonNull(failure, "failure");
        }
    }
}
