package org.verbenamast.core.lease;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The steps in the chart of a take-over. */
public enum TakeoverAction implements Action<TakeoverData, TakeoverInput> {
    /** Reads the holder's row from the table service. */
    READ_ROW {
        @Override
        public TakeoverData apply(TakeoverData data, TakeoverInput input, long now, Effects effects) {
            data.desk().read(data, now, effects);
            return data;
        }
    },
    /** Notes the row that was read. */
    NOTE_ROW {
        @Override
        public TakeoverData apply(TakeoverData data, TakeoverInput input, long now, Effects effects) {
            return data.withRow(input.version(), input.leasePeers(), now);
        }
    },
    /** Asks the lease peers never to vouch for the holder again. */
    ASK_SEALS {
        @Override
        public TakeoverData apply(TakeoverData data, TakeoverInput input, long now, Effects effects) {
            return data.desk().askSeals(data, now, effects);
        }
    },
    /** Notes that a lease peer has sealed. */
    NOTE_SEAL {
        @Override
        public TakeoverData apply(TakeoverData data, TakeoverInput input, long now, Effects effects) {
            return data.withSeal(input.peer(), input.overFrom());
        }
    },
    /** Writes the end of the holder's incarnation, where its row is still the one that was read. */
    END_HOLDER {
        @Override
        public TakeoverData apply(TakeoverData data, TakeoverInput input, long now, Effects effects) {
            data.desk().end(data, now, effects);
            return data;
        }
    }
}
