package org.verbenamast.core.keys;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The actions of the {@code lease-watch} chart. */
public enum LeaseWatchAction implements Action<LeaseWatchData, LeaseWatchInput> {
    /** Reads the row of the lease. */
    READ_LEASE {
        @Override
        public LeaseWatchData apply(LeaseWatchData data, LeaseWatchInput input, long now, Effects effects) {
            effects.emit(data.readEffect());
            return data;
        }
    },
    /** Records the version of the row. */
    RECORD_VERSION {
        @Override
        public LeaseWatchData apply(LeaseWatchData data, LeaseWatchInput input, long now, Effects effects) {
            return data.withVersion(input.version());
        }
    },
    /** Records that the server has ended. */
    RECORD_END {
        @Override
        public LeaseWatchData apply(LeaseWatchData data, LeaseWatchInput input, long now, Effects effects) {
            return data.withEnd();
        }
    }
}
