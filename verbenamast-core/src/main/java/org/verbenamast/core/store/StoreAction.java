package org.verbenamast.core.store;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;

/** The steps in the chart of a call to the table service. */
public enum StoreAction implements Action<StoreCall, StoreReply> {
    /** Sends the request. */
    SEND {
        @Override
        public StoreCall apply(StoreCall call, StoreReply reply, long now, Effects effects) {
            effects.emit(new Effect.CallStore(call.number(), call.request()));
            return call;
        }
    },
    /** Hands the answer to whoever asked. */
    COMPLETE {
        @Override
        public StoreCall apply(StoreCall call, StoreReply reply, long now, Effects effects) {
            call.continuation().done(reply, now, effects);
            return call;
        }
    },
    /** Tells whoever asked that no answer came. */
    COMPLETE_WITHOUT_ANSWER {
        @Override
        public StoreCall apply(StoreCall call, StoreReply reply, long now, Effects effects) {
            call.continuation().done(new StoreReply.Failed(StoreFailure.NO_ANSWER), now, effects);
            return call;
        }
    }
}
