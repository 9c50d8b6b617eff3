package org.verbenamast.core.gate.limit;

import org.verbenamast.core.chart.Guard;

/** The conditions in the chart of the backend server beside this node. */
public enum ServerGuard implements Guard<ServerData, ServerInput> {
    /** The announcement asks for no new work. */
    WANTS_NO_WORK {
        @Override
        public boolean permits(ServerData data, ServerInput input, long now) {
            return input.announcement().draining();
        }
    },
    /** The announcement is of another run of the backend server than the last one. */
    RESTARTED {
        @Override
        public boolean permits(ServerData data, ServerInput input, long now) {
            return !input.announcement().start().equals(data.announcement().start());
        }
    },
    /** The next answer lets the limit grow to what the backend server announced. */
    LAST_STEP {
        @Override
        public boolean permits(ServerData data, ServerInput input, long now) {
            return data.grown().limit() >= data.announcement().slots();
        }
    }
}
