package org.verbenamast.core.gate.runs;

import org.verbenamast.core.chart.Guard;
import org.verbenamast.core.ownership.GrantOrigin;

/** The conditions in the chart of what an owner knows of the earlier runs in a slice. */
public enum HistoryGuard implements Guard<HistoryData, HistoryInput> {
    /** The slice never had an owner before. */
    FIRST_OWNER {
        @Override
        public boolean permits(HistoryData data, HistoryInput input, long now) {
            return data.grant().epoch() == 1 && data.grant().origin() == GrantOrigin.CLAIMED;
        }
    },
    /** All records of the earlier owner are here. */
    RECORDS_COMPLETE {
        @Override
        public boolean permits(HistoryData data, HistoryInput input, long now) {
            return input.desk().complete(data);
        }
    },
    /** The earlier owner passed the slice on and sends its records. */
    HANDED_OVER {
        @Override
        public boolean permits(HistoryData data, HistoryInput input, long now) {
            return data.grant().origin() == GrantOrigin.HANDED_OVER;
        }
    },
    /** This node passed the slice on itself. */
    PASSED_ON_BY_US {
        @Override
        public boolean permits(HistoryData data, HistoryInput input, long now) {
            boolean next = input.grant().epoch() == data.grant().epoch() + 1;
            boolean owned = !input.grant().owner().isNone();
            return next && owned && input.grant().origin() == GrantOrigin.HANDED_OVER;
        }
    }
}
