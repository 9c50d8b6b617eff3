package org.verbenamast.core.gate.limit;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The actions of chart {@code server}, the backend server beside this node. */
public enum ServerAction implements Action<ServerData, ServerInput> {
    /** Records the announcement. */
    RECORD_ANNOUNCEMENT {
        @Override
        public ServerData apply(ServerData data, ServerInput input, long now, Effects effects) {
            return data.withAnnouncement(input.announcement(), now);
        }
    },
    /** Resets the concurrency limit to that of a cold backend server. */
    RESTART_RAMP {
        @Override
        public ServerData apply(ServerData data, ServerInput input, long now, Effects effects) {
            return data.withColdLimit();
        }
    },
    /** Counts a successful answer towards the next increase of the limit. */
    COUNT_SUCCESS {
        @Override
        public ServerData apply(ServerData data, ServerInput input, long now, Effects effects) {
            return data.withSuccess();
        }
    },
    /** Halves the concurrency limit, but not below one. */
    HALVE_LIMIT {
        @Override
        public ServerData apply(ServerData data, ServerInput input, long now, Effects effects) {
            return data.withHalvedLimit();
        }
    },
    /** Updates the usual latency. */
    UPDATE_LATENCY {
        @Override
        public ServerData apply(ServerData data, ServerInput input, long now, Effects effects) {
            return data.withLatency(data.latency().withSample(input.latencyNanos()));
        }
    }
}
