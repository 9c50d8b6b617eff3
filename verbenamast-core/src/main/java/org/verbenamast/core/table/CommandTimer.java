package org.verbenamast.core.table;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers in the chart of an operator's command. */
public enum CommandTimer implements TimerRule<CommandEvent, CommandData> {
    /** Delays another try. */
    RETRY {
        @Override
        public CommandEvent fires() {
            return CommandEvent.RETRY_DUE;
        }

        @Override
        public long delayNanos(CommandData data, long now) {
            return Timing.millisToNanos(FIRST_DELAY_MILLIS << data.tries());
        }
    };

    private static final long FIRST_DELAY_MILLIS = 50;
}
