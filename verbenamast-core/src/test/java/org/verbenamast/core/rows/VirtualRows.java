package org.verbenamast.core.rows;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.verbenamast.core.store.StoreFailure;

/** The store in memory: conditional transactions and one version counter for all rows. */
public final class VirtualRows {

    private final Map<RowRef, StoredRow> rows = new HashMap<>();
    private long version;

    /** Executes a call. */
    public StoreResult execute(StoreEffect effect) {
        return effect instanceof StoreEffect.Commit commit ? commit(commit) : read(((StoreEffect.Read) effect).refs());
    }

    /** The store as of a moment. */
    public record Copy(Map<RowRef, StoredRow> rows, long version) {}

    /** Copies the store. */
    public Copy copy() {
        return new Copy(Map.copyOf(rows), version);
    }

    /** Begins a new era with what a copy has: all that was written since is lost, and versions are given out again. */
    public void comeBackFrom(Copy copy) {
        long era = era() + 1;
        rows.clear();
        copy.rows().forEach((ref, row) -> rows.put(ref, new StoredRow(ref, inEra(era, row.version()), row.content())));
        version = inEra(era, copy.version());
    }

    private static long inEra(long era, long version) {
        return new StoreVersion(era, number(version)).packed();
    }

    private static long number(long version) {
        return StoreVersion.ofPacked(version).number();
    }

    /** Returns the era. */
    public long era() {
        return StoreVersion.ofPacked(version).era();
    }

    /** Executes a transaction of any era, as the store does; the result of one of a former era is unknown. */
    private StoreResult commit(StoreEffect.Commit commit) {
        StoreResult result = commitInThisEra(commit);
        return new StoreEra(era()).covers(commit) ? result : new StoreResult.Failed(StoreFailure.NO_ANSWER);
    }

    private StoreResult commitInThisEra(StoreEffect.Commit commit) {
        List<RowRef> refs = commit.changes().stream().map(RowChange::ref).toList();
        for (RowChange change : commit.changes()) {
            if (number(read(change.ref()).expectedVersion()) != number(change.expectedVersion())) {
                return new StoreResult.Conflicted(readAll(refs));
            }
        }
        version++;
        commit.changes().forEach(change -> rows.put(change.ref(), change.committedRow(version)));
        return new StoreResult.Committed(version);
    }

    private StoreResult read(List<RowRef> refs) {
        return new StoreResult.Read(readAll(refs));
    }

    private List<StoredRow> readAll(List<RowRef> refs) {
        return refs.stream().map(this::read).toList();
    }

    /** Returns a row as a read of the store does: a row that does not exist has the version of the whole store. */
    public StoredRow read(RowRef ref) {
        StoredRow row = rows.get(ref);
        return row == null || row.content().isEmpty() ? new StoredRow(ref, version, Optional.empty()) : row;
    }

    /** Returns the key maps. */
    public List<StoredRow> keyMaps() {
        return rows.values().stream()
                .filter(row -> row.ref().table() == RowTable.KEYS)
                .toList();
    }

    /** Returns the rows of the tables that nodes follow. */
    public List<StoredRow> followedRows() {
        return rows.values().stream()
                .filter(row -> row.ref().table().isFollowed() && row.content().isPresent())
                .toList();
    }

    /** Returns the version of the newest transaction. */
    public long version() {
        return version;
    }
}
