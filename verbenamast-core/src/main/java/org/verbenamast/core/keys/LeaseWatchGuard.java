package org.verbenamast.core.keys;

import org.verbenamast.core.chart.Guard;

/** The conditions of a watched lease. */
public enum LeaseWatchGuard implements Guard<LeaseWatchData, LeaseWatchInput> {
    /** The server has ended, or the row does not exist: nobody can grant keys. */
    NOBODY_GRANTS {
        @Override
        public boolean permits(LeaseWatchData data, LeaseWatchInput input, long now) {
            return data.ended() || input.version() == 0;
        }
    }
}
