package org.verbenamast.core.ownership;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The steps in the chart of a slice. */
public enum SliceAction implements Action<SliceData, SliceInput> {
    /** Counts a request in. */
    INCREMENT_RUNNING {
        @Override
        public SliceData apply(SliceData data, SliceInput input, long now, Effects effects) {
            return data.withRunningRequests(data.runningRequests() + 1);
        }
    },
    /** Counts a request out. */
    DECREMENT_RUNNING {
        @Override
        public SliceData apply(SliceData data, SliceInput input, long now, Effects effects) {
            return data.withRunningRequests(data.runningRequests() - 1);
        }
    },
    /** Notes where the slice is to move. */
    SET_TARGET {
        @Override
        public SliceData apply(SliceData data, SliceInput input, long now, Effects effects) {
            return data.withMove(input.move());
        }
    },
    /** Forgets where the slice was to move. */
    CLEAR_TARGET {
        @Override
        public SliceData apply(SliceData data, SliceInput input, long now, Effects effects) {
            return data.withMove(SliceMove.NONE);
        }
    }
}
