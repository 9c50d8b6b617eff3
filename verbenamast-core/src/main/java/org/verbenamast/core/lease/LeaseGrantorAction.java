package org.verbenamast.core.lease;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.message.PeerMessage;

/** The actions in the chart of the lease that this node grants a lease holder. */
public enum LeaseGrantorAction implements Action<LeaseGrantorData, LeaseGrantorInput> {
    /** Grants the holder a lease from now on for the lease duration, and sends the grant. */
    GRANT_LEASE {
        @Override
        public LeaseGrantorData apply(LeaseGrantorData data, LeaseGrantorInput input, long now, Effects effects) {
            data.controller().notifyGranted(data.holder(), now, effects);
            effects.emit(new Effect.SendToPeer(data.holder(), new PeerMessage.LeaseReply(input.sentAt(), true)));
            return data.withGrant(now);
        }
    },
    /** Sends the holder a refusal. */
    REFUSE_LEASE {
        @Override
        public LeaseGrantorData apply(LeaseGrantorData data, LeaseGrantorInput input, long now, Effects effects) {
            effects.emit(new Effect.SendToPeer(data.holder(), new PeerMessage.LeaseReply(input.sentAt(), false)));
            return data;
        }
    },
    /** Replies that this node never again grants the holder a lease, with the remaining time of the last one. */
    REPLY_SEALED {
        @Override
        public LeaseGrantorData apply(LeaseGrantorData data, LeaseGrantorInput input, long now, Effects effects) {
            PeerMessage reply = new PeerMessage.SealReply(data.holder(), true, data.remainingNanos(now));
            effects.emit(new Effect.SendToPeer(input.sender(), reply));
            return data;
        }
    },
    /** Replies that this node did not seal the holder and keeps granting it leases. */
    REPLY_NOT_SEALED {
        @Override
        public LeaseGrantorData apply(LeaseGrantorData data, LeaseGrantorInput input, long now, Effects effects) {
            PeerMessage reply = new PeerMessage.SealReply(data.holder(), false, data.remainingNanos(now));
            effects.emit(new Effect.SendToPeer(input.sender(), reply));
            return data;
        }
    },
    /** Begins the take-over from the holder. */
    TAKE_OVER {
        @Override
        public LeaseGrantorData apply(LeaseGrantorData data, LeaseGrantorInput input, long now, Effects effects) {
            data.controller().beginTakeover(data.holder(), now, effects);
            return data;
        }
    }
}
