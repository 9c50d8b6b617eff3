package org.verbenamast.core.keys;

import org.verbenamast.core.chart.Guard;

/** The conditions of a watched lease. */
public enum WatchGuard implements Guard<WatchData, WatchInput> {
    /** The server has ended, or the row does not exist: nobody can grant keys. */
    NOBODY_GRANTS {
        @Override
        public boolean permits(WatchData data, WatchInput input, long now) {
            return data.ended() || input.version() == 0;
        }
    }
}
