package org.verbenamast.core.rows;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

/** A node's copy of the store's rows. A row is replaced only by one of a later version. */
public final class RowReplica {

    private final Map<RowRef, StoredRow> rows = new HashMap<>();
    private final Consumer<StoredRow> listener;

    /**
     * Creates an empty replica.
     *
     * @param listener receives each row that is new or replaces an earlier version
     */
    public RowReplica(Consumer<StoredRow> listener) {
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /**
     * Applies rows that were read, written or received from another node. Rows that are not newer are ignored. A row
     * that has become unreadable keeps its known content under the new version, so that its writer can replace it.
     *
     * @param received the rows
     */
    public void apply(Collection<StoredRow> received) {
        for (StoredRow row : received) {
            StoredRow known = rows.get(row.ref());
            if (known == null || known.version() < row.version()) {
                boolean keepsContent = known != null && known.isReadable() && row.isUnreadable();
                rows.put(row.ref(), keepsContent ? new StoredRow(row.ref(), row.version(), known.content()) : row);
                if (!keepsContent) {
                    listener.accept(row);
                }
            }
        }
    }

    /**
     * Applies a snapshot of the followed tables. Known rows that are older than the snapshot and missing from it were
     * deleted.
     *
     * @param all all rows of the followed tables
     * @param version the store's version as of the snapshot
     */
    public void applySnapshot(Collection<StoredRow> all, long version) {
        apply(all);
        List<StoredRow> deleted = new ArrayList<>();
        for (StoredRow known : rows.values()) {
            boolean listed = all.stream().anyMatch(row -> row.ref().equals(known.ref()));
            if (!listed
                    && known.version() < version
                    && known.content().isPresent()
                    && known.ref().table().isFollowed()) {
                deleted.add(new StoredRow(known.ref(), version, Optional.empty()));
            }
        }
        apply(deleted);
    }

    /**
     * Returns a row.
     *
     * @param ref identifies the row
     * @return the newest known version of the row; a row without content of version 0 where none is known
     */
    public StoredRow find(RowRef ref) {
        StoredRow known = rows.get(ref);
        return known == null ? new StoredRow(ref, 0, Optional.empty()) : known;
    }

    /**
     * Returns all rows that this node knows.
     *
     * @return the rows, deleted ones included, in no particular order
     */
    public Collection<StoredRow> rows() {
        return rows.values();
    }
}
