package org.verbenamast.core.rows;

import java.util.List;

import org.verbenamast.core.effect.Effect;

/**
 * Sends rows that this node has just written to the other members, so that they need not wait for the store's answer.
 *
 * @param rows the committed rows
 */
public record BroadcastRows(List<StoredRow> rows) implements Effect.RelayEffect {

    /** Copies the list. */
    public BroadcastRows {
        rows = List.copyOf(rows);
    }
}
