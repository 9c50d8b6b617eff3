package org.verbenamast.core.gate.limit;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The steps in the chart of the backend server beside this node. */
public enum ServerAction implements Action<ServerData, ServerInput> {
    /** Notes the announcement. */
    NOTE_ANNOUNCEMENT {
        @Override
        public ServerData apply(ServerData data, ServerInput input, long now, Effects effects) {
            return data.announced(input.announcement(), now);
        }
    },
    /** Takes the limit back to what a cold backend server bears. */
    RESTART_RAMP {
        @Override
        public ServerData apply(ServerData data, ServerInput input, long now, Effects effects) {
            return data.cold();
        }
    },
    /** Counts an answer towards the next step of the limit. */
    GROW {
        @Override
        public ServerData apply(ServerData data, ServerInput input, long now, Effects effects) {
            return data.grown();
        }
    },
    /** Halves the limit. */
    SHRINK {
        @Override
        public ServerData apply(ServerData data, ServerInput input, long now, Effects effects) {
            return data.shrunk();
        }
    },
    /** Learns the usual latency. */
    LEARN_LATENCY {
        @Override
        public ServerData apply(ServerData data, ServerInput input, long now, Effects effects) {
            return data.withLatency(data.latency().after(input.latencyNanos()));
        }
    }
}
