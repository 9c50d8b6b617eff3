package org.verbenamast.core.keys;

import org.verbenamast.core.chart.Guard;

/** The guards of the {@code lease-watch} chart. */
public enum LeaseWatchGuard implements Guard<LeaseWatchData, LeaseWatchInput> {
    /** The server has ended, or the row does not exist: no node can grant keys under the lease. */
    NOBODY_GRANTS {
        @Override
        public boolean permits(LeaseWatchData data, LeaseWatchInput input, long now) {
            return data.ended() || input.version() == 0;
        }
    }
}
