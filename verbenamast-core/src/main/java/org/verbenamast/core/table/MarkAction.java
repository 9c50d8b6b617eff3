package org.verbenamast.core.table;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The steps in the chart of a mark. */
public enum MarkAction implements Action<MarkData, MarkInput> {
    /** Keeps the mark and who waits for it. */
    KEEP {
        @Override
        public MarkData apply(MarkData data, MarkInput input, long now, Effects effects) {
            return new MarkData(input.mark(), input.call(), input.call() != MarkData.NOBODY, data.desk());
        }
    },
    /** Lets the mark take force here. */
    ENFORCE {
        @Override
        public MarkData apply(MarkData data, MarkInput input, long now, Effects effects) {
            data.desk().enforce(data.mark(), now);
            return data;
        }
    },
    /** Passes the mark on to other members. */
    PASS_ON {
        @Override
        public MarkData apply(MarkData data, MarkInput input, long now, Effects effects) {
            data.desk().passOn(data.mark(), effects);
            return data;
        }
    },
    /** Writes the mark. */
    WRITE {
        @Override
        public MarkData apply(MarkData data, MarkInput input, long now, Effects effects) {
            data.desk().write(data.mark(), now, effects);
            return data;
        }
    },
    /** Tells the operator that the mark is in force and kept. */
    ANSWER_DONE {
        @Override
        public MarkData apply(MarkData data, MarkInput input, long now, Effects effects) {
            data.desk().answer(data, CommandOutcome.DONE, effects);
            return data.answered();
        }
    },
    /** Tells the operator that the mark is in force but not kept yet. */
    ANSWER_NOT_DURABLE {
        @Override
        public MarkData apply(MarkData data, MarkInput input, long now, Effects effects) {
            data.desk().answer(data, CommandOutcome.IN_FORCE_NOT_DURABLE, effects);
            return data.answered();
        }
    },
    /** Tells the operator that a newer mark is in force. */
    ANSWER_STALE {
        @Override
        public MarkData apply(MarkData data, MarkInput input, long now, Effects effects) {
            data.desk().refuseStale(data, effects);
            return data.answered();
        }
    },
    /** Tells the operator that a newer mark has come in. */
    ANSWER_REPLACED {
        @Override
        public MarkData apply(MarkData data, MarkInput input, long now, Effects effects) {
            MarkRow newer = input.mark();
            CommandFault fault =
                    CommandFault.shouldBeNewerMark(newer.subject(), data.mark().counter(), newer.counter());
            data.desk().refuse(data, fault, effects);
            return data.answered();
        }
    },
    /** Tells the operator that the table service took nothing. */
    ANSWER_NOT_REACHED {
        @Override
        public MarkData apply(MarkData data, MarkInput input, long now, Effects effects) {
            data.desk().refuse(data, CommandFault.shouldReachStore(), effects);
            return data.answered();
        }
    },
    /** Tells the operator that nobody can tell whether the table service took the mark. */
    ANSWER_UNKNOWN {
        @Override
        public MarkData apply(MarkData data, MarkInput input, long now, Effects effects) {
            data.desk().refuse(data, CommandFault.shouldLearnEffect(), effects);
            return data.answered();
        }
    }
}
