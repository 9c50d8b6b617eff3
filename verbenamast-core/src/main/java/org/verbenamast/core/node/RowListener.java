package org.verbenamast.core.node;

import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.store.Row;

/** Takes rows of the table service that a part of the node has come to know. */
public interface RowListener {

    /**
     * Takes a row that this node has written.
     *
     * @param row the row
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    void onRowWritten(Row row, long now, Effects effects);

    /**
     * Takes a row that this node has read or been sent.
     *
     * @param row the row
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    void onRowRead(Row row, long now, Effects effects);
}
