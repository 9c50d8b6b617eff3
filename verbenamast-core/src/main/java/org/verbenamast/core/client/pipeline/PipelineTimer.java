package org.verbenamast.core.client.pipeline;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers in the chart of a caller's connection. */
public enum PipelineTimer implements TimerRule<PipelineEvent, PipelineData> {
    /** Fires when the caller has had time to read the last answer and to close its side. */
    LINGER {
        @Override
        public PipelineEvent fires() {
            return PipelineEvent.LINGER_OVER;
        }

        @Override
        public long delayNanos(PipelineData data, long now) {
            return Timing.millisToNanos(LINGER_MILLIS);
        }
    };

    /** Time to read the last answer over a slow link, in milliseconds. */
    private static final long LINGER_MILLIS = 1_000;
}
