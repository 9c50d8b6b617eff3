package org.verbenamast.core.rows;

import java.util.List;

import org.verbenamast.core.effect.Effect;

/**
 * Tells the other members of rows that this node has just written, so that they need not wait for the store to tell.
 *
 * @param rows the rows as they were committed
 */
public record BroadcastRows(List<StoredRow> rows) implements Effect.RelayEffect {

    /** Copies the list. */
    public BroadcastRows {
        rows = List.copyOf(rows);
    }
}
