package org.verbenamast.core.keys;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The steps of a watched lease. */
public enum LeaseWatchAction implements Action<LeaseWatchData, LeaseWatchInput> {
    /** Reads the lease's row. */
    READ_LEASE {
        @Override
        public LeaseWatchData apply(LeaseWatchData data, LeaseWatchInput input, long now, Effects effects) {
            effects.emit(data.read());
            return data;
        }
    },
    /** Notes the version of the row. */
    NOTE_VERSION {
        @Override
        public LeaseWatchData apply(LeaseWatchData data, LeaseWatchInput input, long now, Effects effects) {
            return data.at(input.version());
        }
    },
    /** Notes that the server has ended. */
    NOTE_END {
        @Override
        public LeaseWatchData apply(LeaseWatchData data, LeaseWatchInput input, long now, Effects effects) {
            return data.known();
        }
    }
}
