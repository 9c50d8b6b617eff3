package org.verbenamast.core.membership;

import org.verbenamast.core.chart.TimerRule;

/** The timers of the membership chart. */
public enum MemberTimer implements TimerRule<MemberEvent, MemberData> {
    /** Delays the next attempt to write the row. */
    RETRY {
        @Override
        public MemberEvent fires() {
            return MemberEvent.RETRY_DUE;
        }

        @Override
        public long delayNanos(MemberData data, long now) {
            return data.controller().retryDelayNanos();
        }
    }
}
