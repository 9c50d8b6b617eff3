package org.verbenamast.core.rows;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.effect.Effect;

/** Calls to the store that a decision wants made. */
public sealed interface StoreEffect extends Effect.RelayEffect {

    /**
     * Returns who called.
     *
     * @return the purpose
     */
    StorePurpose purpose();

    /**
     * Returns the number that tells this call from earlier ones of the same purpose.
     *
     * @return the number
     */
    long ticket();

    /**
     * Changes rows in one transaction.
     *
     * @param purpose who calls
     * @param ticket the call's number
     * @param changes the changes
     */
    record Commit(StorePurpose purpose, long ticket, List<RowChange> changes) implements StoreEffect {

        /** Checks the fields and copies the list. */
        public Commit {
            Objects.requireNonNull(purpose, "purpose");
            changes = List.copyOf(changes);
        }
    }

    /**
     * Reads rows by name.
     *
     * @param purpose who calls
     * @param ticket the call's number
     * @param refs the rows' names
     */
    record Read(StorePurpose purpose, long ticket, List<RowRef> refs) implements StoreEffect {

        /** Checks the fields and copies the list. */
        public Read {
            Objects.requireNonNull(purpose, "purpose");
            refs = List.copyOf(refs);
        }
    }
}
