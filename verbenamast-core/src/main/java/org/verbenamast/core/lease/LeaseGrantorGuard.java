package org.verbenamast.core.lease;

import org.verbenamast.core.chart.Guard;

/** The guards in the chart of the lease that this node grants a lease holder. */
public enum LeaseGrantorGuard implements Guard<LeaseGrantorData, LeaseGrantorInput> {
    /** This node's own incarnation cannot have ended long ago, so it may grant leases. */
    MAY_VOUCH {
        @Override
        public boolean permits(LeaseGrantorData data, LeaseGrantorInput input, long now) {
            return data.controller().mayGrant(now);
        }
    },
    /** The holder was granted a lease a short while ago, so it appears to be alive. */
    ASKED_RECENTLY {
        @Override
        public boolean permits(LeaseGrantorData data, LeaseGrantorInput input, long now) {
            return now - data.lastGrantAt() < data.controller().timings().minSilenceBeforeSeal();
        }
    },
    /** The holder's row names this node as a lease peer. */
    LISTED {
        @Override
        public boolean permits(LeaseGrantorData data, LeaseGrantorInput input, long now) {
            return data.controller().isLeasePeerOf(data.holder());
        }
    }
}
