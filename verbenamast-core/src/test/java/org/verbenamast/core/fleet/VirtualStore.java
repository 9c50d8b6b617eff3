package org.verbenamast.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.verbenamast.core.ownership.ChunkRow;
import org.verbenamast.core.ownership.SliceGrant;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.RowKey;
import org.verbenamast.core.store.RowWrite;
import org.verbenamast.core.store.StoreReply;
import org.verbenamast.core.store.StoreRequest;

/** An in-memory table service. Checks on each commit that the epoch of a slice grows by one with each new grant. */
final class VirtualStore {

    private final Map<String, Row> rows = new TreeMap<>();

    StoreReply answer(StoreRequest request) {
        if (request instanceof StoreRequest.ReadRow read) {
            return new StoreReply.RowsRead(existingRows(List.of(read.key())));
        }
        if (request instanceof StoreRequest.ScanTable scan) {
            return new StoreReply.RowsRead(rows.values().stream()
                    .filter(row -> row.key().table() == scan.table())
                    .toList());
        }
        return commit((StoreRequest.Commit) request);
    }

    private StoreReply commit(StoreRequest.Commit commit) {
        List<RowKey> keys = commit.writes().stream().map(RowWrite::key).toList();
        for (RowWrite write : commit.writes()) {
            Row row = row(write.key());
            if ((row == null ? 0 : row.version()) != write.expectedVersion()) {
                return new StoreReply.Conflicted(existingRows(keys));
            }
        }
        for (RowWrite write : commit.writes()) {
            checkEpochs(write);
            rows.put(write.key().toString(), new Row(write.key(), write.expectedVersion() + 1, write.value()));
        }
        return new StoreReply.Committed(existingRows(keys));
    }

    private void checkEpochs(RowWrite write) {
        Row row = row(write.key());
        if (row == null || !(row.value() instanceof ChunkRow before)) {
            return;
        }
        ChunkRow after = (ChunkRow) write.value();
        for (int i = 0; i < before.grants().size(); i++) {
            SliceGrant oldGrant = before.grants().get(i);
            SliceGrant newGrant = after.grants().get(i);
            boolean valid = newGrant.equals(oldGrant) || newGrant.epoch() == oldGrant.epoch() + 1;
            Invariant.require(valid, "a new grant has the next epoch: " + oldGrant + " became " + newGrant);
        }
    }

    private List<Row> existingRows(List<RowKey> keys) {
        List<Row> found = new ArrayList<>();
        for (RowKey key : keys) {
            if (row(key) != null) {
                found.add(row(key));
            }
        }
        return found;
    }

    Row row(RowKey key) {
        return rows.get(key.toString());
    }
}
