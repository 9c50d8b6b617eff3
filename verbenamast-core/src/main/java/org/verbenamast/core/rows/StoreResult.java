package org.verbenamast.core.rows;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.store.StoreFailure;

/** The result of a call to the store. */
public sealed interface StoreResult {

    /**
     * The transaction took effect.
     *
     * @param version the new version of its rows
     */
    record Committed(long version) implements StoreResult {}

    /**
     * The transaction had no effect, since a row did not have the expected version.
     *
     * @param rows the current rows
     */
    record Conflicted(List<StoredRow> rows) implements StoreResult {

        /** Copies the list. */
        public Conflicted {
            rows = List.copyOf(rows);
        }
    }

    /**
     * The store answered a read.
     *
     * @param rows the requested rows; those that do not exist have no content
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
     * @param failure the cause, which shows whether the call may have taken effect
     */
    record Failed(StoreFailure failure) implements StoreResult {

        /** Checks that the failure is present. */
        public Failed {
            Objects.requireNonNull(failure, "failure");
        }
    }
}
