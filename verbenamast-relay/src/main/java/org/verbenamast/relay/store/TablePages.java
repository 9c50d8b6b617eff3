package org.verbenamast.relay.store;

import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

import org.verbenamast.core.rows.StoreEra;
import org.verbenamast.core.rows.StoreVersion;
import org.verbenamast.core.watch.FollowInput;
import org.verbenamast.platform.StoreMessage.RawRow;
import org.verbenamast.platform.StoreMessage.Rows;

/**
 * The pages of a table that have been read so far. Each page is as of a moment of its own. All changes are known up to
 * the version of the first page only: a row on it may have changed before a later page was read.
 *
 * @param rows the rows of all pages
 * @param version the store's version as of the first page; 0 before it
 * @param timing when the pages arrived
 */
record TablePages(List<RawRow> rows, long version, ResponseTiming timing) {

    /** Checks that no component is null and copies the rows. */
    TablePages {
        rows = List.copyOf(Objects.requireNonNull(rows, "rows"));
        Objects.requireNonNull(timing, "timing");
    }

    TablePages with(Rows page, ResponseTiming pageTiming) {
        List<RawRow> all = Stream.concat(rows.stream(), page.rows().stream()).toList();
        return new TablePages(all, rows.isEmpty() ? page.version() : version, timing.withNextPage(pageTiming));
    }

    /** Returns whether another page of an era belongs to these pages. */
    boolean isOf(StoreEra era) {
        return rows.isEmpty() || StoreVersion.ofPacked(version).era() == era.number();
    }

    /** Returns the pages as one answer. */
    FollowInput answer() {
        return FollowInput.ofAnswer(version, 0, false).withBytes(timing.bytes());
    }

    /** Returns the key of the last row, after which the next page begins. */
    String lastKey() {
        return rows.get(rows.size() - 1).key();
    }
}
