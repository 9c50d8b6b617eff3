package org.verbenamast.core.rows;

import java.util.Arrays;
import java.util.Optional;

/** The tables that the nodes keep in the store. */
public enum RowTable {
    /** One row for each node: its address and the backend server beside it. */
    MEMBERS("members", true),
    /** One row for each keyed service: who owns which keys. */
    KEYS("keys", true),
    /** One row for each run of a backend server that holds keys: the lease under which they are granted. */
    LEASES("leases", false);

    private final String label;
    private final boolean isFollowed;

    RowTable(String label, boolean followed) {
        this.label = label;
        this.isFollowed = followed;
    }

    /**
     * Returns the part of a row's key that tells the tables apart.
     *
     * @return the label
     */
    public String label() {
        return label;
    }

    /**
     * Finds a table by its label.
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
     * Tells whether every node follows the changes of this table.
     *
     * @return whether it is followed
     */
    public boolean isFollowed() {
        return isFollowed;
    }
}
