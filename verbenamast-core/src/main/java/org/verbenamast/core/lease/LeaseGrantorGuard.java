package org.verbenamast.core.lease;

import org.verbenamast.core.chart.Guard;

/** The conditions in the chart of the promise to a holder. */
public enum LeaseGrantorGuard implements Guard<LeaseGrantorData, LeaseGrantorInput> {
    /** This node's own incarnation can't have ended long ago, so that it may vouch. */
    MAY_VOUCH {
        @Override
        public boolean permits(LeaseGrantorData data, LeaseGrantorInput input, long now) {
            return data.desk().mayVouch(now);
        }
    },
    /** The holder asked a short while ago, so that it seems to be alive. */
    ASKED_RECENTLY {
        @Override
        public boolean permits(LeaseGrantorData data, LeaseGrantorInput input, long now) {
            return now - data.askedAt() < data.desk().terms().silenceForSeal();
        }
    },
    /** The holder's row names this node as a lease peer. */
    LISTED {
        @Override
        public boolean permits(LeaseGrantorData data, LeaseGrantorInput input, long now) {
            return data.desk().isListedBy(data.holder());
        }
    }
}
