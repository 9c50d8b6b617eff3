package org.verbenamast.core.lease;

import java.time.Duration;

import org.verbenamast.core.chart.Guard;

/** The guards in the chart of this node's own lease. */
public enum LeaseHolderGuard implements Guard<LeaseHolderData, LeaseHolderInput> {
    /** A majority of each list in force has granted a lease that has not expired. */
    MAJORITY_VOUCHES {
        @Override
        public boolean permits(LeaseHolderData data, LeaseHolderInput input, long now) {
            return data.heldUntil() > now;
        }
    },
    /** The new grant completes a majority of each list in force. */
    COMPLETES_MAJORITY {
        @Override
        public boolean permits(LeaseHolderData data, LeaseHolderInput input, long now) {
            return data.withGrant(input.peer(), input.sentAt()).heldUntil() > now;
        }
    },
    /** With the write of the row, each list in force is satisfied: an empty one by the write, others by a majority. */
    WRITE_COMPLETES {
        @Override
        public boolean permits(LeaseHolderData data, LeaseHolderInput input, long now) {
            return data.withWrite(input.sentAt()).heldUntil() > now;
        }
    },
    /** The node has neither held its lease nor read its row for so long that others may have deleted its ended row. */
    LAPSED_LONG_AGO {
        @Override
        public boolean permits(LeaseHolderData data, LeaseHolderInput input, long now) {
            return now - data.mayGrantUntil() > LONGEST_LAPSE_NANOS;
        }
    },
    /** A majority of each list that may be in force after the received row has granted a lease. */
    MAJORITY_OF_ROW {
        @Override
        public boolean permits(LeaseHolderData data, LeaseHolderInput input, long now) {
            PeerLists next = data.peerLists().withCommitted(input.version(), input.leasePeers());
            return data.withPeerLists(next).heldUntil() > now;
        }
    };

    private static final long LONGEST_LAPSE_NANOS = Duration.ofHours(12).toNanos();
}
