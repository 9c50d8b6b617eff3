package org.verbenamast.core.table;

import org.verbenamast.core.chart.Guard;

/** The guards of the chart {@code command}. */
public enum CommandGuard implements Guard<CommandData, CommandInput> {
    /** The decision has rows to write. */
    CHANGES_ROWS {
        @Override
        public boolean permits(CommandData data, CommandInput input, long now) {
            return !input.decision().writes().isEmpty();
        }
    },
    /** The decision is a refusal, but the transaction of an earlier attempt may still take effect. */
    REFUSED_IN_DOUBT {
        @Override
        public boolean permits(CommandData data, CommandInput input, long now) {
            return data.mayHaveEffect() && input.decision().answer().outcome() == CommandOutcome.REFUSED;
        }
    },
    /** Fewer attempts than the maximum have failed, including this one. */
    TRIES_LEFT {
        @Override
        public boolean permits(CommandData data, CommandInput input, long now) {
            return data.attempts() + 1 < MAX_ATTEMPTS;
        }
    };

    private static final int MAX_ATTEMPTS = 4;
}
