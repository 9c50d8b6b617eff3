package org.verbenamast.core.gate.crash;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.message.PeerMessage;

/** The steps in the chart of a node that has just started. */
public enum BootstrapAction implements Action<Integer, BootstrapInput> {
    /** Asks the member what it suspects. */
    ASK {
        @Override
        public Integer apply(Integer asked, BootstrapInput input, long now, Effects effects) {
            effects.emit(new Effect.SendToPeer(input.member(), new PeerMessage.CrashQuery()));
            return asked + 1;
        }
    }
}
