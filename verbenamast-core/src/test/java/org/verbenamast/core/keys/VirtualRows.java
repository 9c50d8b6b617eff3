package org.verbenamast.core.keys;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.verbenamast.core.rows.RowChange;
import org.verbenamast.core.rows.RowRef;
import org.verbenamast.core.rows.RowTable;
import org.verbenamast.core.rows.StoreEffect;
import org.verbenamast.core.rows.StoreResult;
import org.verbenamast.core.rows.StoredRow;

/** The store on virtual time: one counter of versions, transactions under conditions. */
final class VirtualRows {

    private final Map<RowRef, StoredRow> rows = new HashMap<>();
    private long version;

    StoreResult call(StoreEffect effect) {
        return effect instanceof StoreEffect.Commit commit ? commit(commit) : read(((StoreEffect.Read) effect).refs());
    }

    private StoreResult commit(StoreEffect.Commit commit) {
        List<RowRef> refs = commit.changes().stream().map(RowChange::ref).toList();
        for (RowChange change : commit.changes()) {
            if (find(change.ref()).expectedVersion() != change.expectedVersion()) {
                return new StoreResult.Conflicted(all(refs));
            }
        }
        version++;
        commit.changes().forEach(change -> rows.put(change.ref(), change.committedRow(version)));
        return new StoreResult.Committed(version);
    }

    private StoreResult read(List<RowRef> refs) {
        return new StoreResult.Read(all(refs));
    }

    private List<StoredRow> all(List<RowRef> refs) {
        return refs.stream().map(this::find).toList();
    }

    /** Returns a row as a read gives it: one that does not exist has the version of the whole store. */
    StoredRow find(RowRef ref) {
        StoredRow row = rows.get(ref);
        return row == null || row.content().isEmpty() ? new StoredRow(ref, version, Optional.empty()) : row;
    }

    List<StoredRow> followed() {
        List<StoredRow> followed = new ArrayList<>();
        rows.values().stream().filter(row -> row.ref().table() == RowTable.KEYS).forEach(followed::add);
        return followed;
    }
}
