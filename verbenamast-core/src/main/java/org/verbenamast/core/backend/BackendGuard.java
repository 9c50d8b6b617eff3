package org.verbenamast.core.backend;

import org.verbenamast.core.chart.Guard;
import org.verbenamast.core.roster.ServerState;

/** The guards of chart {@code backend}, the backend server beside this node. */
public enum BackendGuard implements Guard<BackendData, BackendInput> {
    /** The heartbeat is from a different incarnation than the one known. */
    OTHER_RUN {
        @Override
        public boolean permits(BackendData data, BackendInput input, long now) {
            return input.heartbeat().isPresent()
                    && data.server()
                            .filter(known -> known.incarnation()
                                    .equals(input.heartbeat().get().incarnation()))
                            .isEmpty();
        }
    },
    /** According to the node's row, the incarnation has announced that it leaves. */
    LEFT_BEFORE {
        @Override
        public boolean permits(BackendData data, BackendInput input, long now) {
            return input.row()
                    .filter(row -> row.state() == ServerState.DRAINING)
                    .isPresent();
        }
    }
}
