package org.verbenamast.core.backend;

import org.verbenamast.core.chart.Guard;

/** The conditions of the server beside this node. */
public enum BackendGuard implements Guard<BackendData, BackendInput> {
    /** The heartbeat is of another run than the one known. */
    OTHER_RUN {
        @Override
        public boolean permits(BackendData data, BackendInput input, long now) {
            return input.beat().isPresent()
                    && data.last()
                            .filter(last ->
                                    last.incarnation().equals(input.beat().get().incarnation()))
                            .isEmpty();
        }
    }
}
