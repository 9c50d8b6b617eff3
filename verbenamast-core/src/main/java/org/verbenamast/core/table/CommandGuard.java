package org.verbenamast.core.table;

import org.verbenamast.core.chart.Guard;

/** The conditions in the chart of an operator's command. */
public enum CommandGuard implements Guard<CommandData, CommandInput> {
    /** The command changes rows. */
    CHANGES_ROWS {
        @Override
        public boolean permits(CommandData data, CommandInput input, long now) {
            return !input.decision().writes().isEmpty();
        }
    },
    /** The command is refused now, but a transaction of an earlier try may still take effect. */
    REFUSED_IN_DOUBT {
        @Override
        public boolean permits(CommandData data, CommandInput input, long now) {
            return data.mayHaveEffect() && input.decision().answer().outcome() == CommandOutcome.REFUSED;
        }
    },
    /** The command may be tried again. */
    TRIES_LEFT {
        @Override
        public boolean permits(CommandData data, CommandInput input, long now) {
            return data.tries() + 1 < MAX_TRIES;
        }
    };

    private static final int MAX_TRIES = 4;
}
