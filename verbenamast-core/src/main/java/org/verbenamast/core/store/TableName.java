package org.verbenamast.core.store;

import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.ownership.ChunkRow;

/** The tables that the platform's table service keeps for the fleet, with the type of their rows. */
public enum TableName {
    /** One row per run of a node. */
    MEMBERS(MemberRow.class),
    /** One row per group of slices: who owns each. */
    CHUNKS(ChunkRow.class);

    private final Class<? extends RowValue> type;

    TableName(Class<? extends RowValue> type) {
        this.type = type;
    }

    /**
     * Returns the type of the rows.
     *
     * @return a record class
     */
    public Class<? extends RowValue> type() {
        return type;
    }
}
