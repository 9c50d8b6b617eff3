package org.verbenamast.core.lease;

import org.verbenamast.core.chart.TimerRule;

/** The timers in the chart of the lease that this node grants a lease holder. */
public enum LeaseGrantorTimer implements TimerRule<LeaseGrantorEvent, LeaseGrantorData> {
    /**
     * Waits for the holder to request a lease again. Each later lease peer in the holder's list waits longer, so that
     * they don't all begin a take-over at once.
     */
    SILENCE {
        @Override
        public LeaseGrantorEvent fires() {
            return LeaseGrantorEvent.SILENCE_ENDED;
        }

        @Override
        public long delayNanos(LeaseGrantorData data, long now) {
            LeaseGrantorController controller = data.controller();
            return controller.timings().leaseDuration()
                    + controller.rank(data.holder()) * controller.timings().rankDelay();
        }
    }
}
