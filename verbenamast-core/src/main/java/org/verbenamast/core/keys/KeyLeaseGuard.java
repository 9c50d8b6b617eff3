package org.verbenamast.core.keys;

import org.verbenamast.core.chart.Guard;
import org.verbenamast.core.rows.StoreVersion;
import org.verbenamast.core.rows.StoredRow;

/** The guards of the {@code tenure} chart: the key lease of a node. */
public enum KeyLeaseGuard implements Guard<KeyLeaseData, KeyLeaseInput> {
    /**
     * The row was last written by this node, or was lost with an era of the store, so no other node has ended the
     * lease.
     */
    STILL_OURS {
        @Override
        public boolean permits(KeyLeaseData data, KeyLeaseInput input, long now) {
            boolean lost = input.lease()
                    .filter(row -> row.content().isEmpty())
                    .filter(row -> eraOf(row.version()) > eraOf(data.expectedVersion()))
                    .isPresent();
            return lost || isOurs(data, input);
        }

        private boolean isOurs(KeyLeaseData data, KeyLeaseInput input) {
            return input.lease()
                    .flatMap(StoredRow::content)
                    .filter(content -> content instanceof KeyLeaseRow lease && lease.granter() == data.granter())
                    .isPresent();
        }
    };

    private static long eraOf(long version) {
        return StoreVersion.ofPacked(version).era();
    }
}
