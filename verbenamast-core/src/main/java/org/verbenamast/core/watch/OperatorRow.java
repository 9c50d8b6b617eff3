package org.verbenamast.core.watch;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.manifest.Manifest;
import org.verbenamast.core.model.Zone;

/** A version of a row that operators wrote. */
public sealed interface OperatorRow {

    /**
     * Returns the version of the row.
     *
     * @return the version, from a counter of the whole store
     */
    long version();

    /**
     * Applies the row to a table.
     *
     * @param table the table without the row
     * @return the table with the row
     */
    OperatorTable applyTo(OperatorTable table);

    /**
     * A row with a manifest.
     *
     * @param version the version of the row
     * @param manifest the manifest
     */
    record ManifestRow(long version, Manifest manifest) implements OperatorRow {

        /** Checks that the version is not negative and the manifest present. */
        public ManifestRow {
            Checks.notNegative("version", version);
            Objects.requireNonNull(manifest, "manifest");
        }

        @Override
        public OperatorTable applyTo(OperatorTable table) {
            return table.with(manifest);
        }
    }

    /**
     * A row that says whether an availability zone is evacuated.
     *
     * @param version the version of the row
     * @param zone the zone
     * @param evacuated whether the zone is out of service; the row does not exist if it is not
     */
    record ZoneRow(long version, Zone zone, boolean evacuated) implements OperatorRow {

        /** Checks that the version is not negative and the zone present. */
        public ZoneRow {
            Checks.notNegative("version", version);
            Objects.requireNonNull(zone, "zone");
        }

        @Override
        public OperatorTable applyTo(OperatorTable table) {
            return table.with(zone, evacuated);
        }
    }
}
