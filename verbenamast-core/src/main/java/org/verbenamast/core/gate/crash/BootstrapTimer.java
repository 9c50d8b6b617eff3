package org.verbenamast.core.gate.crash;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers of chart {@code bootstrap}, the start of a node. */
public enum BootstrapTimer implements TimerRule<BootstrapEvent, Integer> {
    /** Limits the wait for a member's answer; without one the node proceeds. */
    ANSWER_TIMEOUT {
        @Override
        public BootstrapEvent fires() {
            return BootstrapEvent.PATIENCE_OVER;
        }

        @Override
        public long delayNanos(Integer asked, long now) {
            return Timing.millisToNanos(ANSWER_TIMEOUT_MILLIS);
        }
    };

    private static final long ANSWER_TIMEOUT_MILLIS = 1_000;
}
