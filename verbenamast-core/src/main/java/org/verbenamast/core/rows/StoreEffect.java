package org.verbenamast.core.rows;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.effect.Effect;

/** Calls to the store that read or write rows. */
public sealed interface StoreEffect extends Effect.RelayEffect {

    /**
     * Returns the part of the node that makes the call.
     *
     * @return the purpose
     */
    StorePurpose purpose();

    /**
     * Returns the number that distinguishes this call from earlier ones of the same purpose.
     *
     * @return the number
     */
    long callId();

    /**
     * Applies conditional changes in one transaction.
     *
     * @param purpose the part of the node that makes the call
     * @param callId the number of the call
     * @param changes the changes
     */
    record Commit(StorePurpose purpose, long callId, List<RowChange> changes) implements StoreEffect {

        /** Checks the fields and copies the list. */
        public Commit {
            Objects.requireNonNull(purpose, "purpose");
            changes = List.copyOf(changes);
        }
    }

    /**
     * Reads individual rows.
     *
     * @param purpose the part of the node that makes the call
     * @param callId the number of the call
     * @param refs identify the rows
     */
    record Read(StorePurpose purpose, long callId, List<RowRef> refs) implements StoreEffect {

        /** Checks the fields and copies the list. */
        public Read {
            Objects.requireNonNull(purpose, "purpose");
            refs = List.copyOf(refs);
        }
    }
}
