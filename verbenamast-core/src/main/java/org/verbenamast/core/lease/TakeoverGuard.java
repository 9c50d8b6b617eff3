package org.verbenamast.core.lease;

import org.verbenamast.core.chart.Guard;

/** The guards in the chart of a take-over. */
public enum TakeoverGuard implements Guard<TakeoverData, TakeoverInput> {
    /** By the holder's row, other members are responsible for the take-over, or this node has ended. */
    LEFT_TO_OTHERS {
        @Override
        public boolean permits(TakeoverData data, TakeoverInput input, long now) {
            return !data.controller().mayEnd(data.holder(), input.leasePeers());
        }
    },
    /** The row needs no more seals: it has no lease peers, or a majority of them has sealed the holder already. */
    ROW_NEEDS_NO_SEAL {
        @Override
        public boolean permits(TakeoverData data, TakeoverInput input, long now) {
            return data.withRow(input.version(), input.leasePeers(), now).lapsedFrom() != TakeoverData.NEVER;
        }
    },
    /** The new seal completes a majority of the lease peers. */
    COMPLETES_MAJORITY {
        @Override
        public boolean permits(TakeoverData data, TakeoverInput input, long now) {
            return data.withSeal(input.peer(), input.grantExpiry()).lapsedFrom() != TakeoverData.NEVER;
        }
    },
    /** A majority of the lease peers has sealed the holder. */
    MAJORITY_SEALED {
        @Override
        public boolean permits(TakeoverData data, TakeoverInput input, long now) {
            return data.lapsedFrom() != TakeoverData.NEVER;
        }
    }
}
