package org.verbenamast.core.ownership;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The actions of the chart of a slice: each returns the data that replaces the present data. */
public enum SliceAction implements Action<SliceData, SliceInput> {
    /** Increments the number of requests that the backend server has for the slice. */
    INCREMENT_RUNNING {
        @Override
        public SliceData apply(SliceData data, SliceInput input, long now, Effects effects) {
            return data.withRunningRequests(data.runningRequests() + 1);
        }
    },
    /** Decrements the number of requests that the backend server has for the slice. */
    DECREMENT_RUNNING {
        @Override
        public SliceData apply(SliceData data, SliceInput input, long now, Effects effects) {
            return data.withRunningRequests(data.runningRequests() - 1);
        }
    },
    /** Records the target and the drain timeout of a move. */
    SET_TARGET {
        @Override
        public SliceData apply(SliceData data, SliceInput input, long now, Effects effects) {
            return data.withMove(input.move());
        }
    },
    /** Clears the target after a move was cancelled. */
    CLEAR_TARGET {
        @Override
        public SliceData apply(SliceData data, SliceInput input, long now, Effects effects) {
            return data.withMove(SliceMove.NONE);
        }
    }
}
