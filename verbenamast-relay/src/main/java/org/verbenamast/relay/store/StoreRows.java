package org.verbenamast.relay.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.core.rows.RowChange;
import org.verbenamast.core.rows.RowContent;
import org.verbenamast.core.rows.RowRef;
import org.verbenamast.core.rows.RowTable;
import org.verbenamast.core.rows.StoredRow;
import org.verbenamast.platform.StoreMessage.RawRow;
import org.verbenamast.wire.relay.RelayRows;

/** Rows of the decisions, to and from the store's own form. */
final class StoreRows {

    /** The store's table that every node follows. */
    static final String SHARED_TABLE = "verbenamast";
    /** The store's table of what only few nodes read. */
    static final String OTHER_TABLE = "verbenamast-leases";

    private static final Logger LOG = LoggerFactory.getLogger(StoreRows.class);

    private StoreRows() {}

    static String tableOf(RowTable table) {
        return table.isFollowed() ? SHARED_TABLE : OTHER_TABLE;
    }

    static String keyOf(RowRef ref) {
        return ref.table().label() + '/' + ref.key();
    }

    static RawRow expected(RowChange change) {
        RowRef ref = change.ref();
        return new RawRow(tableOf(ref.table()), keyOf(ref), change.expectedVersion(), Optional.empty());
    }

    static RawRow written(RowChange change) {
        RowRef ref = change.ref();
        return new RawRow(tableOf(ref.table()), keyOf(ref), 0, change.content().map(RelayRows::encode));
    }

    /** Decodes rows; those that are none of ours or can't be read are logged and left out. */
    static List<StoredRow> decode(List<RawRow> raw) {
        List<StoredRow> rows = new ArrayList<>();
        for (RawRow each : raw) {
            refOf(each.key()).ifPresent(ref -> decode(ref, each).ifPresent(rows::add));
        }
        return rows;
    }

    private static Optional<RowRef> refOf(String key) {
        int slash = key.indexOf('/');
        Optional<RowTable> table = slash < 0 ? Optional.empty() : RowTable.findByLabel(key.substring(0, slash));
        if (table.isPresent() && slash + 1 < key.length()) {
            return table.map(known -> new RowRef(known, key.substring(slash + 1)));
        }
        LOG.warn("row {} of the store is none of this program's; left out", key);
        return Optional.empty();
    }

    private static Optional<StoredRow> decode(RowRef ref, RawRow raw) {
        if (raw.value().isEmpty()) {
            return Optional.of(new StoredRow(ref, raw.version(), Optional.empty()));
        }
        var content = RelayRows.decode(ref.table(), raw.value().get());
        if (content.isLeft()) {
            LOG.warn(
                    "row {} of version {} can't be read: {}",
                    raw.key(),
                    raw.version(),
                    content.getLeft().getMessage());
            return Optional.empty();
        }
        RowContent read = content.get();
        return Optional.of(new StoredRow(ref, raw.version(), Optional.of(read)));
    }
}
