package org.verbenamast.relay.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import io.vavr.control.Either;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.core.rows.RowChange;
import org.verbenamast.core.rows.RowRef;
import org.verbenamast.core.rows.RowTable;
import org.verbenamast.core.rows.StoreEra;
import org.verbenamast.core.rows.StoreVersion;
import org.verbenamast.core.rows.StoredRow;
import org.verbenamast.core.rows.UnreadableRow;
import org.verbenamast.platform.PlatformFault;
import org.verbenamast.platform.StoreMessage.RawRow;
import org.verbenamast.platform.StoreMessage.Rows;
import org.verbenamast.wire.relay.RelayRows;

/** Converts rows between the form used by decisions and that of the store. */
final class StoreRows {

    /** The table of the store that every node follows. */
    static final String SHARED_TABLE = "verbenamast";
    /** The table of the store with the rows that only a few nodes read. */
    static final String LEASES_TABLE = "verbenamast-leases";

    private static final Logger LOG = LoggerFactory.getLogger(StoreRows.class);

    private StoreRows() {}

    static String tableOf(RowTable table) {
        return table.isFollowed() ? SHARED_TABLE : LEASES_TABLE;
    }

    static String keyOf(RowRef ref) {
        return ref.table().label() + '/' + ref.key();
    }

    static RawRow expectedRow(RowChange change) {
        RowRef ref = change.ref();
        return new RawRow(
                tableOf(ref.table()),
                keyOf(ref),
                StoreVersion.ofPacked(change.expectedVersion()).number(),
                Optional.empty());
    }

    static RawRow writtenRow(RowChange change) {
        RowRef ref = change.ref();
        return new RawRow(tableOf(ref.table()), keyOf(ref), 0, change.content().map(RelayRows::encode));
    }

    /** Returns the version of a number that the store told in an era, or the fault if no version has this number. */
    static Either<PlatformFault, Long> inEra(StoreEra era, long number) {
        return StoreVersion.isValid(era.number(), number)
                ? Either.right(new StoreVersion(era.number(), number).packed())
                : Either.left(new PlatformFault("store answer", PlatformFault.Kind.UNREADABLE, "version " + number));
    }

    /** Returns rows that the store told in an era with their versions, or the fault if a row can't have its number. */
    static Either<PlatformFault, Rows> inEra(StoreEra era, Rows told) {
        List<RawRow> rows = new ArrayList<>();
        for (RawRow row : told.rows()) {
            Either<PlatformFault, Long> version = inEra(era, row.version());
            if (version.isLeft()) {
                return Either.left(version.getLeft());
            }
            rows.add(new RawRow(row.table(), row.key(), version.get(), row.value()));
        }
        return inEra(era, told.version()).map(version -> new Rows(rows, told.skipped(), version, told.more()));
    }

    /** Decodes rows; logs and skips those with an unknown key, and logs those whose content is unreadable. */
    static List<StoredRow> decode(List<RawRow> raw) {
        return decode(raw, ref -> new StoredRow(ref, 0, Optional.empty()));
    }

    /**
     * Decodes rows like {@link #decode(List)}, except those that this node knows in the same version: most rows arrive
     * twice, from the node that wrote them and from the store.
     */
    static List<StoredRow> decode(List<RawRow> raw, Function<RowRef, StoredRow> known) {
        List<StoredRow> rows = new ArrayList<>();
        for (RawRow row : raw) {
            refOf(row.key()).ifPresent(ref -> Optional.of(known.apply(ref))
                    .filter(same -> same.version() == row.version())
                    .or(() -> decode(ref, row))
                    .ifPresent(rows::add));
        }
        return rows;
    }

    private static Optional<RowRef> refOf(String key) {
        int slash = key.indexOf('/');
        Optional<RowTable> table = slash < 0 ? Optional.empty() : RowTable.findByLabel(key.substring(0, slash));
        if (table.isPresent() && !key.substring(slash + 1).isBlank()) {
            return table.map(known -> new RowRef(known, key.substring(slash + 1)));
        }
        LOG.warn("skipping row {} of the store: its key does not name a known table", key);
        return Optional.empty();
    }

    private static Optional<StoredRow> decode(RowRef ref, RawRow raw) {
        if (raw.value().isEmpty()) {
            return Optional.of(new StoredRow(ref, raw.version(), Optional.empty()));
        }
        var content = RelayRows.decode(ref, raw.value().get());
        if (content.isLeft()) {
            LOG.warn(
                    "row {} of version {} can't be decoded, what is known of it stays in force: {}",
                    raw.key(),
                    raw.version(),
                    content.getLeft().getMessage());
            return Optional.of(new StoredRow(ref, raw.version(), Optional.of(UnreadableRow.INSTANCE)));
        }
        return Optional.of(new StoredRow(ref, raw.version(), Optional.of(content.get())));
    }
}
