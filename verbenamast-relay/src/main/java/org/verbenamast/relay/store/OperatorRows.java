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
 * The rows written by operators, up to the latest known version. Each row is applied once: a call that was abandoned
 * after its timeout may still be answered after a later call, and its rows are then older than the known ones.
 */
final class OperatorRows {

    private static final Logger LOG = LoggerFactory.getLogger(OperatorRows.class);

    private final StoreObserver observer;
    private final Set<Zone> evacuatedZones = new HashSet<>();
    private long knownVersion;

    OperatorRows(StoreObserver observer) {
        this.observer = Objects.requireNonNull(observer, "observer");
    }

    /** Replaces the known rows by a full read of the table at one version; ignores a read older than the known rows. */
    void applyAll(List<RawRow> rows, long version) {
        if (version < knownVersion) {
            return;
        }
        knownVersion = version;
        evacuatedZones.clear();
        rows.forEach(this::apply);
        observer.onEvacuatedZones(Set.copyOf(evacuatedZones));
    }

    /** Applies the changed rows that are newer than the known version. */
    void applyChanges(List<RawRow> rows) {
        List<RawRow> newer =
                rows.stream().filter(row -> row.version() > knownVersion).toList();
        if (newer.isEmpty()) {
            return;
        }
        newer.forEach(row -> knownVersion = Math.max(knownVersion, row.version()));
        newer.forEach(this::apply);
        observer.onEvacuatedZones(Set.copyOf(evacuatedZones));
    }

    private void apply(RawRow row) {
        if (row.key().equals(StoreMessage.MANIFEST_KEY)) {
            row.value().ifPresent(value -> ManifestMessage.decode(value)
                    .peek(observer::onManifest)
                    .peekLeft(fault -> LOG.warn("ignoring the manifest of row version {}: {}", row.version(), fault)));
        } else if (row.key().startsWith(StoreMessage.ZONE_OUT_KEY)) {
            String name = row.key().substring(StoreMessage.ZONE_OUT_KEY.length());
            if (name.isBlank()) {
                LOG.warn("ignoring row {} of version {}: it names no availability zone", row.key(), row.version());
                return;
            }
            Zone zone = new Zone(name);
            if (row.value().isPresent()) {
                evacuatedZones.add(zone);
            } else {
                evacuatedZones.remove(zone);
            }
        }
    }
}
