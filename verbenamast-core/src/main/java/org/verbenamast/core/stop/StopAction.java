package org.verbenamast.core.stop;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The actions of chart {@code stop}, the planned stop of a node. */
public enum StopAction implements Action<StopData, StopInput> {
    /** Records when the stop began and how long it may take. */
    RECORD_STOP {
        @Override
        public StopData apply(StopData data, StopInput input, long now, Effects effects) {
            return new StopData(now, input.graceNanos());
        }
    },
    /** Refuses all new requests from now on. */
    REFUSE_NEW {
        @Override
        public StopData apply(StopData data, StopInput input, long now, Effects effects) {
            effects.emit(StopEffect.REFUSE_NEW);
            return data;
        }
    },
    /** Answers every request that is still open. */
    ANSWER_OPEN {
        @Override
        public StopData apply(StopData data, StopInput input, long now, Effects effects) {
            effects.emit(StopEffect.ANSWER_OPEN);
            return data;
        }
    },
    /** Ends the process. */
    EXIT {
        @Override
        public StopData apply(StopData data, StopInput input, long now, Effects effects) {
            effects.emit(StopEffect.EXIT);
            return data;
        }
    }
}
