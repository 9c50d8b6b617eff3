package org.verbenamast.core.gate;

import org.verbenamast.core.chart.Guard;

/** The conditions in the chart of a request at the member whose backend server is to run it. */
public enum ServeGuard implements Guard<ServeData, ServeInput> {
    /** This node may not have the request run. */
    NOT_MINE {
        @Override
        public boolean permits(ServeData data, ServeInput input, long now) {
            return !input.gate().mayServe(data, now);
        }
    },
    /** The backend server may be given one more request. */
    SLOT_FREE {
        @Override
        public boolean permits(ServeData data, ServeInput input, long now) {
            return input.gate().hasSlot();
        }
    },
    /** One more request may wait. */
    QUEUE_OPEN {
        @Override
        public boolean permits(ServeData data, ServeInput input, long now) {
            return input.gate().hasQueueRoom();
        }
    }
}
