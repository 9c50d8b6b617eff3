package org.verbenamast.core.ownership;

import org.verbenamast.core.chart.TimerRule;

/** The timers in the chart of a slice. */
public enum SliceTimer implements TimerRule<SliceEvent, SliceData> {
    /** Waits until requests of the earlier owner can no longer run. */
    SETTLE {
        @Override
        public SliceEvent fires() {
            return SliceEvent.SETTLED;
        }

        @Override
        public long delayNanos(SliceData data, long now) {
            return data.settleNanos();
        }
    }
}
