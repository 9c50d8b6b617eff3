package org.verbenamast.core.gate.limit;

import org.verbenamast.core.chart.Guard;

/** The guards of chart {@code server}, the backend server beside this node. */
public enum ServerGuard implements Guard<ServerData, ServerInput> {
    /** The announcement asks for no new requests. */
    WANTS_NO_WORK {
        @Override
        public boolean permits(ServerData data, ServerInput input, long now) {
            return input.announcement().draining();
        }
    },
    /** The announcement is from a different incarnation of the backend server than the last one. */
    RESTARTED {
        @Override
        public boolean permits(ServerData data, ServerInput input, long now) {
            return !input.announcement().start().equals(data.announcement().start());
        }
    },
    /** The next successful answer raises the limit to the number of slots that the backend server announced. */
    LAST_STEP {
        @Override
        public boolean permits(ServerData data, ServerInput input, long now) {
            return data.withSuccess().limit() >= data.announcement().slots();
        }
    }
}
