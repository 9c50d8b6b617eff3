package org.verbenamast.core.backend;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The actions of chart {@code backend}, the backend server beside this node. */
public enum BackendAction implements Action<BackendData, BackendInput> {
    /** Records the incarnation that the node's row names, if there is a row. */
    RECORD_ROW {
        @Override
        public BackendData apply(BackendData data, BackendInput input, long now, Effects effects) {
            return input.row()
                    .map(row -> data.withRestored(row.incarnation(), now))
                    .orElse(data);
        }
    },
    /** Records that the server announced to an earlier process of the node that it leaves. */
    RECORD_LEFT_BEFORE {
        @Override
        public BackendData apply(BackendData data, BackendInput input, long now, Effects effects) {
            return data.withLeavingSince(BackendData.BEFORE_START);
        }
    },
    /** Records the heartbeat, or the arrival of a leave notice. */
    RECORD_HEARTBEAT {
        @Override
        public BackendData apply(BackendData data, BackendInput input, long now, Effects effects) {
            return input.heartbeat()
                    .map(heartbeat -> data.withHeartbeat(heartbeat, now))
                    .orElseGet(() -> data.withLeaveNotice(now));
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
