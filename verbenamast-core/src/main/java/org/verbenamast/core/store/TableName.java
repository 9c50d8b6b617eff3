package org.verbenamast.core.store;

import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.ownership.ChunkRow;
import org.verbenamast.core.table.ChangeRow;
import org.verbenamast.core.table.MarkRow;
import org.verbenamast.core.table.TableRow;

/**
 * The tables that the platform's table service stores for the fleet, with the type of their rows. The tables that are
 * not replicated on the nodes must come last, because a node reads all tables up to the first of them.
 */
public enum TableName {
    /** One row per incarnation of a node. */
    MEMBERS(MemberRow.class),
    /** One row per chunk, a group of slices, with the owner of each slice. */
    CHUNKS(ChunkRow.class),
    /** A single row: the version of the operators' table that is in force. */
    TABLE(TableRow.class),
    /** One row per zone or backend server that an operator has ever marked. */
    MARKS(MarkRow.class),
    /** One row per proposed change of the operators' table; read on demand. */
    CHANGES(ChangeRow.class, false),
    /** One row per accepted version of the operators' table; read on demand. */
    VERSIONS(TableRow.class, false);

    private final Class<? extends RowValue> type;
    private final boolean replicated;

    TableName(Class<? extends RowValue> type) {
        this(type, true);
    }

    TableName(Class<? extends RowValue> type, boolean replicated) {
        this.type = type;
        this.replicated = replicated;
    }

    /**
     * Returns whether every node keeps a copy of the rows. Other tables are read from the table service on demand.
     *
     * @return whether the rows are replicated among the members
     */
    public boolean replicated() {
        return replicated;
    }

    /**
     * Returns the type of the rows.
     *
     * @return the record class to which the rows are mapped
     */
    public Class<? extends RowValue> type() {
        return type;
    }
}
