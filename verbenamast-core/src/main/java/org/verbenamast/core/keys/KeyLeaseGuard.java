package org.verbenamast.core.keys;

import org.verbenamast.core.chart.Guard;
import org.verbenamast.core.rows.StoredRow;

/** The conditions of a tenure. */
public enum KeyLeaseGuard implements Guard<KeyLeaseData, KeyLeaseInput> {
    /** The row was last written by this node, so that nobody has ended the lease. */
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
