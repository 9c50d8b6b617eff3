package org.verbenamast.core.admission;

import org.verbenamast.core.chart.Guard;

/** The conditions of a request at the gate. */
public enum GateGuard implements Guard<GateData, GateInput> {
    /** The server has room now. */
    HAS_ROOM {
        @Override
        public boolean permits(GateData data, GateInput input, long now) {
            return input.verdict() == GateInput.Verdict.DISPATCH;
        }
    },
    /** The request may wait. */
    MAY_WAIT {
        @Override
        public boolean permits(GateData data, GateInput input, long now) {
            return input.verdict() == GateInput.Verdict.QUEUE;
        }
    }
}
