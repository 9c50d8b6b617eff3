package org.verbenamast.core.lease;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The actions in the chart of a take-over. */
public enum TakeoverAction implements Action<TakeoverData, TakeoverInput> {
    /** Reads the holder's row from the table service. */
    READ_ROW {
        @Override
        public TakeoverData apply(TakeoverData data, TakeoverInput input, long now, Effects effects) {
            data.controller().readRow(data, now, effects);
            return data;
        }
    },
    /** Records the version and lease peers of the row that was read. */
    RECORD_ROW {
        @Override
        public TakeoverData apply(TakeoverData data, TakeoverInput input, long now, Effects effects) {
            return data.withRow(input.version(), input.leasePeers(), now);
        }
    },
    /** Asks the lease peers to seal the holder, that is, never to grant it a lease again. */
    REQUEST_SEALS {
        @Override
        public TakeoverData apply(TakeoverData data, TakeoverInput input, long now, Effects effects) {
            return data.controller().requestSeals(data, now, effects);
        }
    },
    /** Records that a lease peer has sealed the holder. */
    RECORD_SEAL {
        @Override
        public TakeoverData apply(TakeoverData data, TakeoverInput input, long now, Effects effects) {
            return data.withSeal(input.peer(), input.grantExpiry());
        }
    },
    /** Writes the end of the holder's incarnation, on condition that its row is still the version that was read. */
    END_HOLDER {
        @Override
        public TakeoverData apply(TakeoverData data, TakeoverInput input, long now, Effects effects) {
            data.controller().endHolder(data, now, effects);
            return data;
        }
    }
}
