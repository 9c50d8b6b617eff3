package org.verbenamast.core.backend;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The actions of chart {@code backend}, the backend server beside this node. */
public enum BackendAction implements Action<BackendData, BackendInput> {
    /** Records the heartbeat, if the event carries one. */
    RECORD_HEARTBEAT {
        @Override
        public BackendData apply(BackendData data, BackendInput input, long now, Effects effects) {
            return input.heartbeat()
                    .map(heartbeat -> data.withHeartbeat(heartbeat, now))
                    .orElse(data);
        }
    },
    /** Records since when the server has been leaving; a time already recorded stays. */
    RECORD_LEAVING {
        @Override
        public BackendData apply(BackendData data, BackendInput input, long now, Effects effects) {
            return data.withLeavingSince(now);
        }
    },
    /**
     * Clears the time since when the server has been leaving: a new incarnation has replaced the one that was leaving.
     */
    CLEAR_LEAVING {
        @Override
        public BackendData apply(BackendData data, BackendInput input, long now, Effects effects) {
            return data.withoutLeavingSince();
        }
    }
}
