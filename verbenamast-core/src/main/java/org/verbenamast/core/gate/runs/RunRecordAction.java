package org.verbenamast.core.gate.runs;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.request.RequestOutcome;
import org.verbenamast.core.request.UnknownReason;

/** The actions of chart {@code run}, the record of a run. */
public enum RunRecordAction implements Action<RunRecordData, RunRecordInput> {
    /** Records the outcome of the run. */
    RECORD_OUTCOME {
        @Override
        public RunRecordData apply(RunRecordData data, RunRecordInput input, long now, Effects effects) {
            return data.withOutcome(input.controller().retain(data.key(), input.outcome()));
        }
    },
    /** Drops the answer, but keeps the fact that the request ran. */
    DROP_ANSWER {
        @Override
        public RunRecordData apply(RunRecordData data, RunRecordInput input, long now, Effects effects) {
            input.controller().dropAnswer(data);
            return data.withOutcome(new RequestOutcome.Unknown(UnknownReason.ANSWER_NOT_KEPT));
        }
    },
    /** Frees the space of the record. */
    DISCARD {
        @Override
        public RunRecordData apply(RunRecordData data, RunRecordInput input, long now, Effects effects) {
            input.controller().discard(data);
            return data;
        }
    }
}
