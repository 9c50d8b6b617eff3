package org.verbenamast.core.lease;

import org.verbenamast.core.chart.Guard;

/** The conditions in the chart of a take-over. */
public enum TakeoverGuard implements Guard<TakeoverData, TakeoverInput> {
    /** The holder's row leaves the take-over to other members. */
    LEFT_TO_OTHERS {
        @Override
        public boolean permits(TakeoverData data, TakeoverInput input, long now) {
            return !data.desk().mayEnd(data.holder(), input.leasePeers());
        }
    },
    /** The row needs no seal: it has no lease peers, or a majority of them has sealed already. */
    ROW_NEEDS_NO_SEAL {
        @Override
        public boolean permits(TakeoverData data, TakeoverInput input, long now) {
            return data.withRow(input.version(), input.leasePeers(), now).lapsedFrom() != TakeoverData.NEVER;
        }
    },
    /** The seal completes a majority. */
    COMPLETES_MAJORITY {
        @Override
        public boolean permits(TakeoverData data, TakeoverInput input, long now) {
            return data.withSeal(input.peer(), input.overFrom()).lapsedFrom() != TakeoverData.NEVER;
        }
    },
    /** A majority has sealed. */
    MAJORITY_SEALED {
        @Override
        public boolean permits(TakeoverData data, TakeoverInput input, long now) {
            return data.lapsedFrom() != TakeoverData.NEVER;
        }
    }
}
