package org.verbenamast.core.stop;

import org.verbenamast.core.chart.Guard;

/** The guards of chart {@code stop}, the planned stop of a node. */
public enum StopGuard implements Guard<StopData, StopInput> {
    /** No request is open. */
    IDLE {
        @Override
        public boolean permits(StopData data, StopInput input, long now) {
            return input.isIdle();
        }
    }
}
