package org.verbenamast.core.rows;

import java.util.Arrays;
import java.util.Optional;

/** The tables that nodes write in the store. */
public enum RowTable {
    /** One row for each node: its address and the backend server beside it. */
    MEMBERS("members", true),
    /** One row for each keyed service: who owns which keys. */
    KEYS("keys", true),
    /** One row for each node whose backend server crashed: the requests that may have caused it. */
    CRASHES("crashes", true),
    /** One row for each server incarnation that has keys: the lease under which they are granted. */
    LEASES("leases", false);

    private final String label;
    private final boolean followed;

    RowTable(String label, boolean followed) {
        this.label = label;
        this.followed = followed;
    }

    /**
     * Returns the part of a row's key in the store that identifies its table.
     *
     * @return the label
     */
    public String label() {
        return label;
    }

    /**
     * Returns the table with a label.
     *
     * @param label the label
     * @return the table, or nothing where none has this label
     */
    public static Optional<RowTable> findByLabel(String label) {
        return Arrays.stream(values())
                .filter(table -> table.label.equals(label))
                .findFirst();
    }

    /**
     * Returns whether every node follows the changes of this table.
     *
     * @return whether it is followed
     */
    public boolean isFollowed() {
        return followed;
    }
}
