package org.verbenamast.core.membership;

import org.verbenamast.core.chart.TimerRule;

/** The timers in the chart of this node's own membership. */
public enum MemberTimer implements TimerRule<MemberEvent, MemberData> {
    /** Waits before the row is written again. */
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
