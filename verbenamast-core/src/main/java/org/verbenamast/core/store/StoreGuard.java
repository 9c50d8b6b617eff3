package org.verbenamast.core.store;

import org.verbenamast.core.chart.Guard;

/** The guards of the chart of a call to the table service. */
public enum StoreGuard implements Guard<StoreCall, StoreReply> {
    /** The table service returned no usable reply, and another attempt is permitted. */
    FAILED_AND_MAY_RETRY {
        @Override
        public boolean permits(StoreCall call, StoreReply reply, long now) {
            return reply instanceof StoreReply.Failed && call.retryPolicy().permits(call);
        }
    },
    /** The table service returned no usable reply. */
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
    /** The reply to a transaction shows a row that one of its own earlier attempts wrote. */
    SHOWS_OWN_WRITE {
        @Override
        public boolean permits(StoreCall call, StoreReply reply, long now) {
            return call.isCommit() && call.isCommittedIn(reply);
        }
    },
    /**
     * The row that was read back has the version that the transaction expects: no attempt has taken effect so far. A
     * delayed attempt still may.
     */
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
