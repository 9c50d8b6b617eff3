package org.verbenamast.core.gate.crash;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers in the chart of a node that has just started. */
public enum BootstrapTimer implements TimerRule<BootstrapEvent, Integer> {
    /** Waits for a member's answer. */
    PATIENCE {
        @Override
        public BootstrapEvent fires() {
            return BootstrapEvent.PATIENCE_OVER;
        }

        @Override
        public long delayNanos(Integer asked, long now) {
            return Timing.millisToNanos(PATIENCE_MILLIS);
        }
    };

    private static final long PATIENCE_MILLIS = 1_000;
}
