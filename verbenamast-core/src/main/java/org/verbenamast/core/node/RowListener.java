package org.verbenamast.core.node;

import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.store.Row;

/** Is notified of each row of the table service that a controller of this node writes or reads. */
public interface RowListener {

    /**
     * Handles a row that this node has written to the table service.
     *
     * @param row the row with its version
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    void onRowWritten(Row row, long now, Effects effects);

    /**
     * Handles a row that this node has read from the table service or received from another node.
     *
     * @param row the row with its version
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    void onRowRead(Row row, long now, Effects effects);
}
