package org.verbenamast.core.table;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The actions of the chart {@code mark}. */
public enum MarkAction implements Action<MarkData, MarkInput> {
    /** Records the mark and the operator's call that waits for it. */
    RECORD_MARK {
        @Override
        public MarkData apply(MarkData data, MarkInput input, long now, Effects effects) {
            return new MarkData(input.mark(), input.callId(), input.callId() != MarkData.NO_CALL, data.controller());
        }
    },
    /** Puts the mark into force at this node. */
    ENFORCE {
        @Override
        public MarkData apply(MarkData data, MarkInput input, long now, Effects effects) {
            data.controller().enforce(data.mark(), now);
            return data;
        }
    },
    /** Pushes the mark to other members. */
    PUSH_TO_PEERS {
        @Override
        public MarkData apply(MarkData data, MarkInput input, long now, Effects effects) {
            data.controller().pushToPeers(data.mark(), effects);
            return data;
        }
    },
    /** Writes the mark to the table service. */
    WRITE {
        @Override
        public MarkData apply(MarkData data, MarkInput input, long now, Effects effects) {
            data.controller().write(data.mark(), now, effects);
            return data;
        }
    },
    /** Answers that the mark is in force and durable. */
    ANSWER_DONE {
        @Override
        public MarkData apply(MarkData data, MarkInput input, long now, Effects effects) {
            data.controller().answer(data, CommandOutcome.DONE, effects);
            return data.withoutCall();
        }
    },
    /** Answers that the mark is in force but not durable yet. */
    ANSWER_NOT_DURABLE {
        @Override
        public MarkData apply(MarkData data, MarkInput input, long now, Effects effects) {
            data.controller().answer(data, CommandOutcome.IN_FORCE_NOT_DURABLE, effects);
            return data.withoutCall();
        }
    },
    /** Answers that a newer mark is in force. */
    ANSWER_STALE {
        @Override
        public MarkData apply(MarkData data, MarkInput input, long now, Effects effects) {
            data.controller().refuseStale(data, effects);
            return data.withoutCall();
        }
    },
    /** Answers that a newer mark was received. */
    ANSWER_REPLACED {
        @Override
        public MarkData apply(MarkData data, MarkInput input, long now, Effects effects) {
            MarkRow newer = input.mark();
            CommandFault fault =
                    CommandFault.shouldBeNewerMark(newer.subject(), data.mark().counter(), newer.counter());
            data.controller().refuse(data, fault, effects);
            return data.withoutCall();
        }
    },
    /** Answers that the table service did not respond and the mark had no effect. */
    ANSWER_STORE_UNAVAILABLE {
        @Override
        public MarkData apply(MarkData data, MarkInput input, long now, Effects effects) {
            data.controller().refuse(data, CommandFault.shouldReachStore(), effects);
            return data.withoutCall();
        }
    },
    /** Answers that the table service may have stored the mark. */
    ANSWER_UNKNOWN {
        @Override
        public MarkData apply(MarkData data, MarkInput input, long now, Effects effects) {
            data.controller().refuse(data, CommandFault.shouldHaveKnownEffect(), effects);
            return data.withoutCall();
        }
    }
}
