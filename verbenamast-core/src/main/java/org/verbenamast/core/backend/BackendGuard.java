package org.verbenamast.core.backend;

import org.verbenamast.core.chart.Guard;

/** The guards of chart {@code backend}, the backend server beside this node. */
public enum BackendGuard implements Guard<BackendData, BackendInput> {
    /** The heartbeat is from a different incarnation than the one known. */
    OTHER_RUN {
        @Override
        public boolean permits(BackendData data, BackendInput input, long now) {
            return input.heartbeat().isPresent()
                    && data.lastHeartbeat()
                            .filter(last -> last.incarnation()
                                    .equals(input.heartbeat().get().incarnation()))
                            .isEmpty();
        }
    }
}
