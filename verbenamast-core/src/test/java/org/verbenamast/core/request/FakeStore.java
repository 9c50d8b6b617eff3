package org.verbenamast.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.RowKey;
import org.verbenamast.core.store.RowWrite;
import org.verbenamast.core.store.StoreReply;
import org.verbenamast.core.store.StoreRequest;

/** An in-memory table service. */
final class FakeStore {

    private final Map<RowKey, Row> rows = new HashMap<>();

    StoreReply handle(StoreRequest request) {
        if (request instanceof StoreRequest.Commit commit) {
            return commit(commit.writes());
        }
        if (request instanceof StoreRequest.ReadRow read) {
            Row row = rows.get(read.key());
            return new StoreReply.RowsRead(row == null ? List.of() : List.of(row));
        }
        StoreRequest.ScanTable scan = (StoreRequest.ScanTable) request;
        return new StoreReply.RowsRead(rows.values().stream()
                .filter(row -> row.key().table() == scan.table())
                .toList());
    }

    private StoreReply commit(List<RowWrite> writes) {
        for (RowWrite write : writes) {
            Row current = rows.get(write.key());
            if ((current == null ? 0 : current.version()) != write.expectedVersion()) {
                return new StoreReply.Conflicted(current == null ? List.of() : List.of(current));
            }
        }
        List<Row> written = new ArrayList<>();
        for (RowWrite write : writes) {
            Row row = new Row(write.key(), write.expectedVersion() + 1, write.value());
            rows.put(write.key(), row);
            written.add(row);
        }
        return new StoreReply.Committed(written);
    }

    Row row(RowKey key) {
        return rows.get(key);
    }

    void overwrite(RowWrite write) {
        rows.put(write.key(), new Row(write.key(), write.expectedVersion() + 1, write.value()));
    }
}
