package org.verbenamast.core.gate.crash;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.message.PeerMessage;

/** The actions of chart {@code bootstrap}, the start of a node. The data is the number of members queried. */
public enum BootstrapAction implements Action<Integer, BootstrapInput> {
    /** Queries the member for its suspicions. */
    SEND_QUERY {
        @Override
        public Integer apply(Integer asked, BootstrapInput input, long now, Effects effects) {
            effects.emit(new Effect.SendToPeer(input.member(), new PeerMessage.CrashQuery()));
            return asked + 1;
        }
    }
}
