package org.verbenamast.core.lease;

import java.time.Duration;

import org.verbenamast.core.chart.Guard;

/** The conditions in the chart of this node's own lease. */
public enum LeaseHolderGuard implements Guard<LeaseHolderData, LeaseHolderInput> {
    /** A majority of each list in force vouches, with what the event tells. */
    MAJORITY_VOUCHES {
        @Override
        public boolean permits(LeaseHolderData data, LeaseHolderInput input, long now) {
            return data.heldUntil() > now;
        }
    },
    /** The vouch completes a majority of each list in force. */
    COMPLETES_MAJORITY {
        @Override
        public boolean permits(LeaseHolderData data, LeaseHolderInput input, long now) {
            return data.withVouch(input.peer(), input.sentAt()).heldUntil() > now;
        }
    },
    /** The write of the row that took effect stands in for a majority of each list in force. */
    WRITE_COMPLETES {
        @Override
        public boolean permits(LeaseHolderData data, LeaseHolderInput input, long now) {
            return data.withWritten(input.sentAt()).heldUntil() > now;
        }
    },
    /** The node has neither held its lease nor seen its row for so long that others may have forgotten its end. */
    LAPSED_LONG_AGO {
        @Override
        public boolean permits(LeaseHolderData data, LeaseHolderInput input, long now) {
            return now - data.standingUntil() > LONGEST_LAPSE_NANOS;
        }
    },
    /** A majority of each list vouches that may be in force after the row was learnt. */
    MAJORITY_OF_ROW {
        @Override
        public boolean permits(LeaseHolderData data, LeaseHolderInput input, long now) {
            PeerLists next = data.lists().learnt(input.version(), input.leasePeers());
            return data.withLists(next).heldUntil() > now;
        }
    };

    private static final long LONGEST_LAPSE_NANOS = Duration.ofHours(12).toNanos();
}
