package org.verbenamast.core.lease;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.effect.StopReason;

/** The actions in the chart of this node's own lease. */
public enum LeaseHolderAction implements Action<LeaseHolderData, LeaseHolderInput> {
    /** Requests a lease from each lease peer, and replaces the peers that are inactive or silent. */
    REQUEST_LEASES {
        @Override
        public LeaseHolderData apply(LeaseHolderData data, LeaseHolderInput input, long now, Effects effects) {
            return data.controller().requestLeases(data, now, effects);
        }
    },
    /** Records that a lease peer granted a lease. */
    RECORD_GRANT {
        @Override
        public LeaseHolderData apply(LeaseHolderData data, LeaseHolderInput input, long now, Effects effects) {
            return data.withGrant(input.peer(), input.sentAt());
        }
    },
    /** Records that a write of the row took effect. */
    RECORD_WRITE {
        @Override
        public LeaseHolderData apply(LeaseHolderData data, LeaseHolderInput input, long now, Effects effects) {
            return data.withWrite(input.sentAt()).withConfirmation(input.sentAt());
        }
    },
    /** Records that the table service showed the row as not ended. */
    RECORD_CONFIRMATION {
        @Override
        public LeaseHolderData apply(LeaseHolderData data, LeaseHolderInput input, long now, Effects effects) {
            return data.withConfirmation(input.sentAt());
        }
    },
    /** Records the lease peers in a later version of the row. */
    RECORD_ROW {
        @Override
        public LeaseHolderData apply(LeaseHolderData data, LeaseHolderInput input, long now, Effects effects) {
            return data.withPeerLists(data.peerLists().withCommitted(input.version(), input.leasePeers()));
        }
    },
    /** Records when the lease lapsed. */
    RECORD_LAPSE {
        @Override
        public LeaseHolderData apply(LeaseHolderData data, LeaseHolderInput input, long now, Effects effects) {
            return data.withLapse(now);
        }
    },
    /** Makes the process exit, so that it restarts as a new incarnation. */
    STOP_PROCESS {
        @Override
        public LeaseHolderData apply(LeaseHolderData data, LeaseHolderInput input, long now, Effects effects) {
            data.controller().markEnded();
            effects.emit(new Effect.StopProcess(StopReason.LEASE_OVER));
            return data;
        }
    },
    /** Discards the leases granted for requests that were sent before now. */
    DISCARD_EARLIER_GRANTS {
        @Override
        public LeaseHolderData apply(LeaseHolderData data, LeaseHolderInput input, long now, Effects effects) {
            data.controller().resetUnresponsivePeers();
            return data.withValidFrom(now);
        }
    }
}
