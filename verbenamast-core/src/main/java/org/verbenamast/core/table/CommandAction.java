package org.verbenamast.core.table;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The steps in the chart of an operator's command. */
public enum CommandAction implements Action<CommandData, CommandInput> {
    /** Asks the table service for the version in force. */
    READ_TABLE {
        @Override
        public CommandData apply(CommandData data, CommandInput input, long now, Effects effects) {
            data.desk().readTable(data, now, effects);
            return data;
        }
    },
    /** Takes the version in force. */
    LEARN_TABLE {
        @Override
        public CommandData apply(CommandData data, CommandInput input, long now, Effects effects) {
            data.desk().learn(input.reply(), now, effects);
            return data;
        }
    },
    /** Asks the table service for the change. */
    READ_CHANGE {
        @Override
        public CommandData apply(CommandData data, CommandInput input, long now, Effects effects) {
            data.desk().readChange(data, now, effects);
            return data;
        }
    },
    /** Takes what was decided by the rows that were read. */
    TAKE_DECISION {
        @Override
        public CommandData apply(CommandData data, CommandInput input, long now, Effects effects) {
            return data.decided(input.decision());
        }
    },
    /** Sends the transaction. */
    COMMIT {
        @Override
        public CommandData apply(CommandData data, CommandInput input, long now, Effects effects) {
            data.desk().commit(data, now, effects);
            return data;
        }
    },
    /** Spreads the rows that were written. */
    SPREAD {
        @Override
        public CommandData apply(CommandData data, CommandInput input, long now, Effects effects) {
            data.desk().wrote(input.reply(), now, effects);
            return data;
        }
    },
    /** Counts a try that came to no end. */
    COUNT_TRY {
        @Override
        public CommandData apply(CommandData data, CommandInput input, long now, Effects effects) {
            return data.tried(false);
        }
    },
    /** Counts a try whose transaction may have taken effect all the same. */
    COUNT_TRY_IN_DOUBT {
        @Override
        public CommandData apply(CommandData data, CommandInput input, long now, Effects effects) {
            return data.tried(input.effectUnknown());
        }
    },
    /** Answers the operator by what was decided. */
    ANSWER {
        @Override
        public CommandData apply(CommandData data, CommandInput input, long now, Effects effects) {
            data.desk().answer(data.call(), data.decision().answer(), effects);
            return data;
        }
    },
    /** Answers the operator that other commands came in between each time. */
    ANSWER_CONTENDED {
        @Override
        public CommandData apply(CommandData data, CommandInput input, long now, Effects effects) {
            CommandFault fault =
                    data.mayHaveEffect() ? CommandFault.shouldLearnEffect() : CommandFault.shouldMeetNoOthers();
            data.desk().refuse(data, fault, effects);
            return data;
        }
    },
    /** Answers the operator that an earlier try may have had its effect. */
    ANSWER_UNKNOWN {
        @Override
        public CommandData apply(CommandData data, CommandInput input, long now, Effects effects) {
            data.desk().refuse(data, CommandFault.shouldLearnEffect(), effects);
            return data;
        }
    },
    /** Answers the operator that the table service did not. */
    ANSWER_NOT_REACHED {
        @Override
        public CommandData apply(CommandData data, CommandInput input, long now, Effects effects) {
            CommandFault fault =
                    data.mayHaveEffect() ? CommandFault.shouldLearnEffect() : CommandFault.shouldReachStore();
            data.desk().refuse(data, fault, effects);
            return data;
        }
    }
}
