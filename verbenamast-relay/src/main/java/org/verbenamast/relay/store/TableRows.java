package org.verbenamast.relay.store;

import java.util.List;
import java.util.stream.LongStream;

import org.verbenamast.core.rows.RowTable;
import org.verbenamast.core.rows.StoredRow;
import org.verbenamast.core.watch.FollowEvent;
import org.verbenamast.core.watch.FollowInput;
import org.verbenamast.core.watch.FollowResult;
import org.verbenamast.core.watch.FollowedTable;
import org.verbenamast.platform.StoreMessage;
import org.verbenamast.platform.StoreMessage.RawRow;

/** How the rows of each followed table are named in the store, decoded and passed on. */
enum TableRows {
    OPERATORS(FollowedTable.OPERATORS, StoreMessage.OPERATORS_TABLE) {
        @Override
        void pass(StoreObserver observer, long callId, FollowEvent event, FollowInput answer, List<RawRow> raw) {
            long newest = newest(raw.stream().mapToLong(RawRow::version));
            observer.onOperatorRows(result(callId, event, answer.withLatest(newest)), OperatorRows.decode(raw));
        }
    },
    SHARED(FollowedTable.SHARED, StoreRows.SHARED_TABLE) {
        @Override
        void pass(StoreObserver observer, long callId, FollowEvent event, FollowInput answer, List<RawRow> raw) {
            List<StoredRow> rows = StoreRows.decode(raw, observer::knownRow);
            // Nodes send each other the versions of key owners only.
            long newest = newest(rows.stream()
                    .filter(row -> row.ref().table() == RowTable.KEYS)
                    .mapToLong(StoredRow::version));
            observer.onSharedRows(result(callId, event, answer.withLatest(newest)), rows);
        }
    };

    private final FollowedTable table;
    private final String storeTable;

    TableRows(FollowedTable table, String storeTable) {
        this.table = table;
        this.storeTable = storeTable;
    }

    /** Returns the rows of a followed table. */
    static TableRows of(FollowedTable table) {
        return valueOf(table.name());
    }

    /** Returns the name of the table in the store. */
    String storeTable() {
        return storeTable;
    }

    /** Passes on an answer with its rows and the version of the newest one that nodes send each other. */
    abstract void pass(StoreObserver observer, long callId, FollowEvent event, FollowInput answer, List<RawRow> raw);

    FollowResult result(long callId, FollowEvent event, FollowInput answer) {
        return new FollowResult(table, callId, event, answer);
    }

    private static long newest(LongStream versions) {
        return versions.max().orElse(0);
    }
}
