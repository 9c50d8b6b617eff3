package org.verbenamast.core.keys;

import org.verbenamast.core.chart.Guard;
import org.verbenamast.core.rows.StoredRow;

/** The guards of the {@code tenure} chart: the key lease of a node. */
public enum KeyLeaseGuard implements Guard<KeyLeaseData, KeyLeaseInput> {
    /** The row was last written by this node, so no other node has ended the lease. */
    STILL_OURS {
        @Override
        public boolean permits(KeyLeaseData data, KeyLeaseInput input, long now) {
            return input.lease()
                    .flatMap(StoredRow::content)
                    .filter(content -> content instanceof KeyLeaseRow lease && lease.granter() == data.granter())
                    .isPresent();
        }
    }
}
