package org.verbenamast.core.gate.runs;

import org.verbenamast.core.chart.Guard;
import org.verbenamast.core.ownership.GrantOrigin;

/** The guards of chart {@code history}, the known earlier runs of a slice. */
public enum HistoryGuard implements Guard<HistoryData, HistoryInput> {
    /** The slice had no owner before. */
    FIRST_OWNER {
        @Override
        public boolean permits(HistoryData data, HistoryInput input, long now) {
            return data.grant().epoch() == 1 && data.grant().origin() == GrantOrigin.CLAIMED;
        }
    },
    /** All records of the earlier owner have arrived. */
    RECORDS_COMPLETE {
        @Override
        public boolean permits(HistoryData data, HistoryInput input, long now) {
            return input.controller().hasAllRecords(data);
        }
    },
    /** The earlier owner handed the slice over, and so sends its records. */
    HANDED_OVER {
        @Override
        public boolean permits(HistoryData data, HistoryInput input, long now) {
            return data.grant().origin() == GrantOrigin.HANDED_OVER;
        }
    },
    /** This node handed the slice over: the new grant follows directly on its own. */
    PASSED_ON_BY_US {
        @Override
        public boolean permits(HistoryData data, HistoryInput input, long now) {
            boolean next = input.grant().epoch() == data.grant().epoch() + 1;
            boolean owned = !input.grant().owner().isNone();
            return next && owned && input.grant().origin() == GrantOrigin.HANDED_OVER;
        }
    }
}
