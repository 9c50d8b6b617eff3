package org.verbenamast.core.ownership;

import org.verbenamast.core.chart.Guard;

/** The conditions in the chart of a slice. */
public enum SliceGuard implements Guard<SliceData, SliceInput> {
    /** Requests that the earlier owner started may still run. */
    EARLIER_REQUESTS_MAY_RUN {
        @Override
        public boolean permits(SliceData data, SliceInput input, long now) {
            return data.settleNanos() > 0;
        }
    },
    /** The backend server has no request for the slice. */
    IDLE {
        @Override
        public boolean permits(SliceData data, SliceInput input, long now) {
            return data.runningRequests() == 0;
        }
    },
    /** The request that ends is the last for the slice. */
    LAST_REQUEST {
        @Override
        public boolean permits(SliceData data, SliceInput input, long now) {
            return data.runningRequests() == 1;
        }
    }
}
