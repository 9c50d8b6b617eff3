package org.verbenamast.relay.store;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.core.model.Zone;
import org.verbenamast.platform.ManifestMessage;
import org.verbenamast.platform.StoreMessage;
import org.verbenamast.platform.StoreMessage.RawRow;

/**
 * What operators wrote, as far as it is known. Each row counts once: a call that was given up may still be answered
 * after a later one, and what it brings is older than what is known.
 */
final class OperatorRows {

    private static final Logger LOG = LoggerFactory.getLogger(OperatorRows.class);

    private final StoreObserver observer;
    private final Set<Zone> zonesOut = new HashSet<>();
    private long known;

    OperatorRows(StoreObserver observer) {
        this.observer = Objects.requireNonNull(observer, "observer");
    }

    /** Takes all rows at one moment. */
    void all(List<RawRow> rows, long version) {
        if (version < known) {
            return;
        }
        known = version;
        zonesOut.clear();
        rows.forEach(this::take);
        observer.zonesOut(Set.copyOf(zonesOut));
    }

    /** Takes rows that have changed. */
    void changed(List<RawRow> rows) {
        List<RawRow> newer = rows.stream().filter(row -> row.version() > known).toList();
        if (newer.isEmpty()) {
            return;
        }
        newer.forEach(row -> known = Math.max(known, row.version()));
        newer.forEach(this::take);
        observer.zonesOut(Set.copyOf(zonesOut));
    }

    private void take(RawRow row) {
        if (row.key().equals(StoreMessage.MANIFEST_KEY)) {
            row.value().ifPresent(value -> ManifestMessage.decode(value)
                    .peek(observer::manifest)
                    .peekLeft(fault -> LOG.warn("manifest of row version {} refused: {}", row.version(), fault)));
        } else if (row.key().startsWith(StoreMessage.ZONE_OUT_KEY)) {
            Zone zone = new Zone(row.key().substring(StoreMessage.ZONE_OUT_KEY.length()));
            if (row.value().isPresent()) {
                zonesOut.add(zone);
            } else {
                zonesOut.remove(zone);
            }
        }
    }
}
