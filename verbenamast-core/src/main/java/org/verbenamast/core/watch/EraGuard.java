package org.verbenamast.core.watch;

import org.verbenamast.core.chart.Guard;

/** The guards of the chart of the store's era. */
public enum EraGuard implements Guard<EraData, EraInput> {
    /** With this table all followed tables have been read. */
    LAST_TABLE {
        @Override
        public boolean permits(EraData data, EraInput input, long now) {
            return data.withTable(input.table().orElseThrow()).read().size() == FollowedTable.values().length;
        }
    }
}
