package org.verbenamast.core.lease;

import org.verbenamast.core.chart.TimerRule;

/** The timers in the chart of the promise to a holder. */
public enum LeaseGrantorTimer implements TimerRule<LeaseGrantorEvent, LeaseGrantorData> {
    /** Waits for the holder to ask again; longer, the later this node stands in the holder's list. */
    SILENCE {
        @Override
        public LeaseGrantorEvent fires() {
            return LeaseGrantorEvent.SILENCE_ENDED;
        }

        @Override
        public long delayNanos(LeaseGrantorData data, long now) {
            LeaseGrantorController desk = data.desk();
            return desk.terms().promise()
                    + desk.rank(data.holder()) * desk.terms().rankStep();
        }
    }
}
