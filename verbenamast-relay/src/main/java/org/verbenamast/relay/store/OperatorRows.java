package org.verbenamast.relay.store;

import java.util.List;
import java.util.Optional;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.watch.OperatorRow;
import org.verbenamast.platform.ManifestMessage;
import org.verbenamast.platform.StoreMessage;
import org.verbenamast.platform.StoreMessage.RawRow;

/** Decodes the rows written by operators. */
final class OperatorRows {

    private static final Logger LOG = LoggerFactory.getLogger(OperatorRows.class);

    private OperatorRows() {}

    /** Decodes rows; logs and skips those that are unreadable or don't concern this node. */
    static List<OperatorRow> decode(List<RawRow> raw) {
        return raw.stream().flatMap(row -> decode(row).stream()).toList();
    }

    private static Optional<OperatorRow> decode(RawRow row) {
        if (row.key().equals(StoreMessage.MANIFEST_KEY)) {
            return row.value().flatMap(value -> decodeManifest(row, value));
        }
        return row.key().startsWith(StoreMessage.ZONE_OUT_KEY) ? decodeZone(row) : Optional.empty();
    }

    private static Optional<OperatorRow> decodeManifest(RawRow row, byte[] value) {
        return ManifestMessage.decode(value)
                .peekLeft(fault -> LOG.warn("ignoring the manifest of row version {}: {}", row.version(), fault))
                .<OperatorRow>map(decoded -> new OperatorRow.ManifestRow(row.version(), decoded.manifest()))
                .toJavaOptional();
    }

    private static Optional<OperatorRow> decodeZone(RawRow row) {
        String name = row.key().substring(StoreMessage.ZONE_OUT_KEY.length());
        if (name.isBlank()) {
            LOG.warn("ignoring row {} of version {}: it names no availability zone", row.key(), row.version());
            return Optional.empty();
        }
        return Optional.of(new OperatorRow.ZoneRow(
                row.version(), new Zone(name), row.value().isPresent()));
    }
}
