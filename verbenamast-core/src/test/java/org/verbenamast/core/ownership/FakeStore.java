package org.verbenamast.core.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.RowKey;
import org.verbenamast.core.store.RowValue;
import org.verbenamast.core.store.RowWrite;
import org.verbenamast.core.store.StoreFailure;
import org.verbenamast.core.store.StoreReply;
import org.verbenamast.core.store.StoreRequest;

/** A table service in memory that can refuse requests and lose replies. */
public final class FakeStore {

    private final Map<RowKey, Row> rows = new HashMap<>();
    private boolean down;
    private boolean repliesLost;
    private int moves;

    void setDown(boolean next) {
        down = next;
    }

    void setRepliesLost(boolean next) {
        repliesLost = next;
    }

    /** Returns how often an owned slice got another owner, or none. */
    int moves() {
        return moves;
    }

    Row put(Row row) {
        rows.put(row.key(), row);
        return row;
    }

    List<Row> rows() {
        return List.copyOf(rows.values());
    }

    /** Returns the row of a key, or {@code null} if there is none. */
    public Row row(RowKey key) {
        return rows.get(key);
    }

    /** Executes a request. Returns {@code null} if the reply is lost; the request then still takes effect. */
    public StoreReply execute(StoreRequest request) {
        if (down) {
            return new StoreReply.Failed(StoreFailure.UNAVAILABLE);
        }
        StoreReply reply = request instanceof StoreRequest.Commit commit
                ? commit(commit.writes())
                : new StoreReply.RowsRead(matching(request));
        return repliesLost ? null : reply;
    }

    private List<Row> matching(StoreRequest request) {
        return rows.values().stream()
                .filter(row -> request instanceof StoreRequest.ScanTable scan
                        ? row.key().table() == scan.table()
                        : row.key().equals(((StoreRequest.ReadRow) request).key()))
                .toList();
    }

    private StoreReply commit(List<RowWrite> writes) {
        List<Row> present = new ArrayList<>();
        for (RowWrite write : writes) {
            Row row = rows.get(write.key());
            if ((row == null ? 0 : row.version()) != write.expectedVersion()) {
                present.add(row);
            }
        }
        if (!present.isEmpty()) {
            return new StoreReply.Conflicted(present);
        }
        List<Row> written = new ArrayList<>();
        for (RowWrite write : writes) {
            countMoves(rows.get(write.key()), write.value());
            written.add(put(new Row(write.key(), write.expectedVersion() + 1, write.value())));
        }
        return new StoreReply.Committed(written);
    }

    private void countMoves(Row before, RowValue written) {
        if (before == null || !(written instanceof ChunkRow after)) {
            return;
        }
        List<SliceGrant> grants = ((ChunkRow) before.value()).grants();
        for (int i = 0; i < grants.size(); i++) {
            boolean owned = !grants.get(i).owner().isNone();
            moves +=
                    owned && !grants.get(i).owner().equals(after.grants().get(i).owner()) ? 1 : 0;
        }
    }
}
