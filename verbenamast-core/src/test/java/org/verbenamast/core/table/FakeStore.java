package org.verbenamast.core.table;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.RowKey;
import org.verbenamast.core.store.RowWrite;
import org.verbenamast.core.store.StoreReply;
import org.verbenamast.core.store.StoreRequest;
import org.verbenamast.core.store.TableName;

/** An in-memory table service with transactions that check the expected versions. */
final class FakeStore {

    private final Map<RowKey, Row> rows = new HashMap<>();

    StoreReply serve(StoreRequest request) {
        if (request instanceof StoreRequest.ReadRow read) {
            Row row = rows.get(read.key());
            return new StoreReply.RowsRead(row == null ? List.of() : List.of(row));
        }
        if (request instanceof StoreRequest.ScanTable scan) {
            return new StoreReply.RowsRead(rowsOf(scan.table()));
        }
        return commit(((StoreRequest.Commit) request).writes());
    }

    private StoreReply commit(List<RowWrite> writes) {
        boolean matches = writes.stream().allMatch(write -> version(write.key()) == write.expectedVersion());
        if (matches) {
            writes.forEach(
                    write -> rows.put(write.key(), new Row(write.key(), write.expectedVersion() + 1, write.value())));
        }
        List<Row> stored = new ArrayList<>();
        writes.stream()
                .map(write -> rows.get(write.key()))
                .filter(row -> row != null)
                .forEach(stored::add);
        return matches ? new StoreReply.Committed(stored) : new StoreReply.Conflicted(stored);
    }

    private long version(RowKey key) {
        Row row = rows.get(key);
        return row == null ? 0 : row.version();
    }

    Row row(RowKey key) {
        return rows.get(key);
    }

    List<Row> rowsOf(TableName table) {
        return rows.values().stream().filter(row -> row.key().table() == table).toList();
    }
}
