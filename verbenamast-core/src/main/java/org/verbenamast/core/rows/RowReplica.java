package org.verbenamast.core.rows;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

/** The newest rows that a node knows. A row is replaced only by one of a later version. */
public final class RowReplica {

    private final Map<RowRef, StoredRow> rows = new HashMap<>();
    private final Consumer<StoredRow> listener;

    /**
     * Makes an empty replica.
     *
     * @param changed is told of each row that replaced an earlier one
     */
    public RowReplica(Consumer<StoredRow> changed) {
        this.listener = Objects.requireNonNull(changed, "changed");
    }

    /**
     * Takes rows that were read, written or told by another node.
     *
     * @param read the rows
     */
    public void apply(Collection<StoredRow> read) {
        for (StoredRow row : read) {
            StoredRow known = rows.get(row.ref());
            if (known == null || known.version() < row.version()) {
                rows.put(row.ref(), row);
                listener.accept(row);
            }
        }
    }

    /**
     * Takes all rows of a table at one moment: what is missing is gone.
     *
     * @param all the rows
     * @param version the store's version at that moment
     */
    public void applySnapshot(Collection<StoredRow> all, long version) {
        apply(all);
        List<StoredRow> gone = new ArrayList<>();
        for (StoredRow known : rows.values()) {
            boolean listed = all.stream().anyMatch(row -> row.ref().equals(known.ref()));
            if (!listed
                    && known.version() < version
                    && known.content().isPresent()
                    && known.ref().table().isFollowed()) {
                gone.add(new StoredRow(known.ref(), version, Optional.empty()));
            }
        }
        apply(gone);
    }

    /**
     * Finds a row.
     *
     * @param ref its name
     * @return the newest known row; of version 0 where none is known
     */
    public StoredRow find(RowRef ref) {
        StoredRow known = rows.get(ref);
        return known == null ? new StoredRow(ref, 0, Optional.empty()) : known;
    }

    /**
     * Returns all known rows.
     *
     * @return the rows, in no order
     */
    public Collection<StoredRow> rows() {
        return rows.values();
    }
}
