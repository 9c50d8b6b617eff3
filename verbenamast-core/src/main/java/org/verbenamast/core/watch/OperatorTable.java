package org.verbenamast.core.watch;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.verbenamast.core.manifest.Manifest;
import org.verbenamast.core.model.Zone;

/**
 * The rows of the operators' table that this node holds.
 *
 * @param manifest the newest manifest, or nothing where none is known
 * @param evacuatedZones the availability zones that are out of service
 */
public record OperatorTable(Optional<Manifest> manifest, Set<Zone> evacuatedZones) {

    /** The table of a node that has read no rows. */
    public static final OperatorTable EMPTY = new OperatorTable(Optional.empty(), Set.of());

    /** Checks that no component is null and copies the zones. */
    public OperatorTable {
        Objects.requireNonNull(manifest, "manifest");
        evacuatedZones = Set.copyOf(Objects.requireNonNull(evacuatedZones, "evacuatedZones"));
    }

    /**
     * Applies an answer that was accepted by the {@link FollowController}.
     *
     * @param result the answer
     * @param rows the rows of the answer, in the order of their versions
     * @param held the store's version up to which this node held all changes before the answer
     * @return the table as of the answer
     */
    public OperatorTable withAnswer(FollowResult result, List<OperatorRow> rows, long held) {
        boolean whole = result.isWholeTable();
        OperatorTable table = whole ? new OperatorTable(manifest, Set.of()) : this;
        for (OperatorRow row : rows) {
            if (whole || row.version() > held) {
                table = row.applyTo(table);
            }
        }
        return table;
    }

    OperatorTable with(Manifest next) {
        return new OperatorTable(Optional.of(next), evacuatedZones);
    }

    OperatorTable with(Zone zone, boolean evacuated) {
        Set<Zone> zones = new HashSet<>(evacuatedZones);
        if (evacuated) {
            zones.add(zone);
        } else {
            zones.remove(zone);
        }
        return new OperatorTable(manifest, zones);
    }
}
