package org.verbenamast.core.store;

import org.verbenamast.core.chart.Guard;

/** The conditions in the chart of a call to the table service. */
public enum StoreGuard implements Guard<StoreCall, StoreReply> {
    /** The request is a transaction, which must not be taken as failed while it may have taken effect. */
    IS_COMMIT {
        @Override
        public boolean permits(StoreCall call, StoreReply reply, long now) {
            return call.request() instanceof StoreRequest.Commit;
        }
    }
}
