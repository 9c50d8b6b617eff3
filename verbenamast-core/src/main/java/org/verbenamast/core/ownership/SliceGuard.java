package org.verbenamast.core.ownership;

import org.verbenamast.core.chart.Guard;

/** The guards of the chart of a slice. */
public enum SliceGuard implements Guard<SliceData, SliceInput> {
    /** Requests that the previous owner sent may still run at the backend server. */
    EARLIER_REQUESTS_MAY_RUN {
        @Override
        public boolean permits(SliceData data, SliceInput input, long now) {
            return data.settleNanos() > 0;
        }
    },
    /** The backend server has no running request for the slice. */
    IDLE {
        @Override
        public boolean permits(SliceData data, SliceInput input, long now) {
            return data.runningRequests() == 0;
        }
    },
    /** The finished request is the only one that the backend server has for the slice. */
    LAST_REQUEST {
        @Override
        public boolean permits(SliceData data, SliceInput input, long now) {
            return data.runningRequests() == 1;
        }
    }
}
