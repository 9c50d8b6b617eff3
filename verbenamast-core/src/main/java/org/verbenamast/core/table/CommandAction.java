package org.verbenamast.core.table;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The actions of the chart {@code command}. */
public enum CommandAction implements Action<CommandData, CommandInput> {
    /** Reads the current version of the table from the table service. */
    READ_TABLE {
        @Override
        public CommandData apply(CommandData data, CommandInput input, long now, Effects effects) {
            data.controller().readTable(data, now, effects);
            return data;
        }
    },
    /** Applies the version of the table that was read. */
    APPLY_TABLE {
        @Override
        public CommandData apply(CommandData data, CommandInput input, long now, Effects effects) {
            data.controller().applyRows(input.reply(), now, effects);
            return data;
        }
    },
    /** Reads the change from the table service. */
    READ_CHANGE {
        @Override
        public CommandData apply(CommandData data, CommandInput input, long now, Effects effects) {
            data.controller().readChange(data, now, effects);
            return data;
        }
    },
    /** Records the decision made from the rows that were read. */
    RECORD_DECISION {
        @Override
        public CommandData apply(CommandData data, CommandInput input, long now, Effects effects) {
            return data.withDecision(input.decision());
        }
    },
    /** Commits the rows of the decision in one transaction. */
    COMMIT {
        @Override
        public CommandData apply(CommandData data, CommandInput input, long now, Effects effects) {
            data.controller().commit(data, now, effects);
            return data;
        }
    },
    /** Publishes the committed rows that every node keeps. */
    PUBLISH_ROWS {
        @Override
        public CommandData apply(CommandData data, CommandInput input, long now, Effects effects) {
            data.controller().publishRows(input.reply(), now, effects);
            return data;
        }
    },
    /** Counts an attempt that had no effect. */
    COUNT_ATTEMPT {
        @Override
        public CommandData apply(CommandData data, CommandInput input, long now, Effects effects) {
            return data.withFailedAttempt(false);
        }
    },
    /** Counts a failed attempt whose transaction may have taken effect. */
    COUNT_UNCERTAIN_ATTEMPT {
        @Override
        public CommandData apply(CommandData data, CommandInput input, long now, Effects effects) {
            return data.withFailedAttempt(input.effectUnknown());
        }
    },
    /** Answers the operator with the decision. */
    ANSWER {
        @Override
        public CommandData apply(CommandData data, CommandInput input, long now, Effects effects) {
            data.controller().answer(data.callId(), data.decision().answer(), effects);
            return data;
        }
    },
    /** Answers that each attempt conflicted with other commands. */
    ANSWER_CONTENDED {
        @Override
        public CommandData apply(CommandData data, CommandInput input, long now, Effects effects) {
            CommandFault fault =
                    data.mayHaveEffect() ? CommandFault.shouldHaveKnownEffect() : CommandFault.shouldNotConflict();
            data.controller().refuse(data, fault, effects);
            return data;
        }
    },
    /** Answers that an earlier attempt may have taken effect. */
    ANSWER_UNKNOWN {
        @Override
        public CommandData apply(CommandData data, CommandInput input, long now, Effects effects) {
            data.controller().refuse(data, CommandFault.shouldHaveKnownEffect(), effects);
            return data;
        }
    },
    /** Answers that the table service did not respond. */
    ANSWER_STORE_UNAVAILABLE {
        @Override
        public CommandData apply(CommandData data, CommandInput input, long now, Effects effects) {
            CommandFault fault =
                    data.mayHaveEffect() ? CommandFault.shouldHaveKnownEffect() : CommandFault.shouldReachStore();
            data.controller().refuse(data, fault, effects);
            return data;
        }
    }
}
