package org.verbenamast.core.rows;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A node's copy of the store's rows. A row is replaced only by one of a later version. Content that the store has lost
 * with its last era may stay, under the version of what the store has instead.
 */
public final class RowReplica {

    private final Map<RowRef, StoredRow> rows = new HashMap<>();
    private final Consumer<StoredRow> listener;
    /** The rows whose content the store has lost, each with the version to expect in a change of the row. */
    private final Map<RowRef, Long> lostVersions = new HashMap<>();

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
                replace(known, row);
            }
        }
    }

    private void replace(StoredRow known, StoredRow row) {
        boolean isLost = known != null && isLost(known, row);
        boolean keepsContent = isLost || known != null && known.isReadable() && row.isUnreadable();
        rows.put(row.ref(), keepsContent ? new StoredRow(row.ref(), row.version(), known.content()) : row);
        if (isLost) {
            lostVersions.put(row.ref(), row.expectedVersion());
        } else {
            lostVersions.remove(row.ref());
        }
        if (!keepsContent) {
            listener.accept(row);
        }
    }

    /** Returns whether the store has lost the known content of a row and has an older one. */
    private static boolean isLost(StoredRow known, StoredRow stored) {
        boolean mayBeLost = StoreVersion.ofPacked(stored.version()).era() > 0 && !stored.isUnreadable();
        return mayBeLost
                && known.content()
                        .filter(content -> content.outlasts(stored.content()))
                        .isPresent();
    }

    /**
     * Returns whether the known content of a row has to be written again, because the store has lost it.
     *
     * @param ref identifies the row
     * @return whether the store has an older content or none
     */
    public boolean isLost(RowRef ref) {
        return lostVersions.containsKey(ref);
    }

    /**
     * Returns the version to expect in a change of a row.
     *
     * @param ref identifies the row
     * @return the version that the store's row has; 0 if the store does not have the row
     */
    public long expectedVersion(RowRef ref) {
        return lostVersions.getOrDefault(ref, find(ref).expectedVersion());
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
