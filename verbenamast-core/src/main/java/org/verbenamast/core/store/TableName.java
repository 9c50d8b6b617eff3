package org.verbenamast.core.store;

import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.ownership.ChunkRow;
import org.verbenamast.core.table.ChangeRow;
import org.verbenamast.core.table.MarkRow;
import org.verbenamast.core.table.TableRow;

/**
 * The tables that the platform's table service keeps for the fleet, with the type of their rows. Those that
 * are not spread stand last.
 */
public enum TableName {
    /** One row per run of a node. */
    MEMBERS(MemberRow.class),
    /** One row per group of slices: who owns each. */
    CHUNKS(ChunkRow.class),
    /** One row: the version of the operators' table that is in force. */
    TABLE(TableRow.class),
    /** One row per zone or backend server that was ever marked. */
    MARKS(MarkRow.class),
    /** One row per change of the operators' table; read on demand. */
    CHANGES(ChangeRow.class, false),
    /** One row per accepted version of the operators' table; read on demand. */
    VERSIONS(TableRow.class, false);

    private final Class<? extends RowValue> type;
    private final boolean replicated;

    TableName(Class<? extends RowValue> type) {
        this(type, true);
    }

    TableName(Class<? extends RowValue> type, boolean spread) {
        this.type = type;
        this.replicated = spread;
    }

    /**
     * Tells whether every node keeps the rows. The others are read from the table service when they are asked for.
     *
     * @return whether the rows are spread among the members
     */
    public boolean replicated() {
        return replicated;
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
