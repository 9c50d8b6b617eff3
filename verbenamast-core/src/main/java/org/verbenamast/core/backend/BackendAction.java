package org.verbenamast.core.backend;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The steps of the server beside this node. */
public enum BackendAction implements Action<BackendData, BackendInput> {
    /** Notes the heartbeat. */
    NOTE_BEAT {
        @Override
        public BackendData apply(BackendData data, BackendInput input, long now, Effects effects) {
            return input.beat().map(beat -> data.heard(beat, now)).orElse(data);
        }
    },
    /** Notes since when the server is leaving. */
    NOTE_LEAVING {
        @Override
        public BackendData apply(BackendData data, BackendInput input, long now, Effects effects) {
            return data.leaving(now);
        }
    },
    /** Notes that a run stays. */
    NOTE_STAYING {
        @Override
        public BackendData apply(BackendData data, BackendInput input, long now, Effects effects) {
            return data.staying();
        }
    }
}
