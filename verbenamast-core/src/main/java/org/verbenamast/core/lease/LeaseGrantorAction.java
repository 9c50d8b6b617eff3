package org.verbenamast.core.lease;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.message.PeerMessage;

/** The steps in the chart of the promise to a holder. */
public enum LeaseGrantorAction implements Action<LeaseGrantorData, LeaseGrantorInput> {
    /** Vouches for the holder from now on for the length of a promise, and tells it. */
    PROMISE {
        @Override
        public LeaseGrantorData apply(LeaseGrantorData data, LeaseGrantorInput input, long now, Effects effects) {
            data.desk().heard(data.holder(), now, effects);
            effects.emit(new Effect.SendToPeer(data.holder(), new PeerMessage.LeaseReply(input.sentAt(), true)));
            return data.promised(now);
        }
    },
    /** Tells the holder that this node does not vouch. */
    REFUSE {
        @Override
        public LeaseGrantorData apply(LeaseGrantorData data, LeaseGrantorInput input, long now, Effects effects) {
            effects.emit(new Effect.SendToPeer(data.holder(), new PeerMessage.LeaseReply(input.sentAt(), false)));
            return data;
        }
    },
    /** Tells the asker that this node will never vouch again, and how long what it promised still holds. */
    REPLY_SEALED {
        @Override
        public LeaseGrantorData apply(LeaseGrantorData data, LeaseGrantorInput input, long now, Effects effects) {
            PeerMessage reply = new PeerMessage.SealReply(data.holder(), true, data.remaining(now));
            effects.emit(new Effect.SendToPeer(input.asker(), reply));
            return data;
        }
    },
    /** Tells the asker that this node goes on vouching. */
    REPLY_NOT_SEALED {
        @Override
        public LeaseGrantorData apply(LeaseGrantorData data, LeaseGrantorInput input, long now, Effects effects) {
            PeerMessage reply = new PeerMessage.SealReply(data.holder(), false, data.remaining(now));
            effects.emit(new Effect.SendToPeer(input.asker(), reply));
            return data;
        }
    },
    /** Begins to take over from the holder. */
    TAKE_OVER {
        @Override
        public LeaseGrantorData apply(LeaseGrantorData data, LeaseGrantorInput input, long now, Effects effects) {
            data.desk().takeOver(data.holder(), now, effects);
            return data;
        }
    }
}
