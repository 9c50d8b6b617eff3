package org.verbenamast.core.table;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers of the chart {@code command}. */
public enum CommandTimer implements TimerRule<CommandEvent, CommandData> {
    /** Delays the next attempt, twice as long after each failure. */
    RETRY {
        @Override
        public CommandEvent fires() {
            return CommandEvent.RETRY_DUE;
        }

        @Override
        public long delayNanos(CommandData data, long now) {
            return Timing.millisToNanos(BASE_RETRY_DELAY_MILLIS << data.attempts());
        }
    };

    private static final long BASE_RETRY_DELAY_MILLIS = 50;
}
