package org.verbenamast.core.store;

import org.verbenamast.core.chart.Guard;

/** The conditions in the chart of a call to the table service. */
public enum StoreGuard implements Guard<StoreCall, StoreReply> {
    /** The table service gave no usable answer, and another attempt is permitted. */
    FAILED_AND_MAY_RETRY {
        @Override
        public boolean permits(StoreCall call, StoreReply reply, long now) {
            return reply instanceof StoreReply.Failed && call.retryPolicy().permits(call);
        }
    },
    /** The table service gave no usable answer. */
    FAILED {
        @Override
        public boolean permits(StoreCall call, StoreReply reply, long now) {
            return reply instanceof StoreReply.Failed;
        }
    },
    /** Another attempt is permitted. */
    MAY_RETRY {
        @Override
        public boolean permits(StoreCall call, StoreReply reply, long now) {
            return call.retryPolicy().permits(call);
        }
    },
    /** A transaction met rows that an earlier attempt of its own had written. */
    SHOWS_OWN_WRITE {
        @Override
        public boolean permits(StoreCall call, StoreReply reply, long now) {
            return call.isCommit() && call.isCommittedIn(reply);
        }
    },
    /** The rows of a transaction are as it expects them: no attempt has taken effect, and a late one still may. */
    SHOWS_NO_CHANGE {
        @Override
        public boolean permits(StoreCall call, StoreReply reply, long now) {
            return call.isUnchangedIn(reply);
        }
    },
    /** An earlier attempt of a transaction may have taken effect. */
    IN_DOUBT {
        @Override
        public boolean permits(StoreCall call, StoreReply reply, long now) {
            return call.inDoubt();
        }
    }
}
