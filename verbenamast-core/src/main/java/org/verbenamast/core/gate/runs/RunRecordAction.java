package org.verbenamast.core.gate.runs;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.request.RequestOutcome;
import org.verbenamast.core.request.UnknownReason;

/** The steps in the chart of a run's record. */
public enum RunRecordAction implements Action<RunRecordData, RunRecordInput> {
    /** Notes how the run ended. */
    NOTE_OUTCOME {
        @Override
        public RunRecordData apply(RunRecordData data, RunRecordInput input, long now, Effects effects) {
            return data.withOutcome(input.desk().keep(data.key(), input.outcome()));
        }
    },
    /** Gives up the answer, but not that the request ran. */
    DROP_ANSWER {
        @Override
        public RunRecordData apply(RunRecordData data, RunRecordInput input, long now, Effects effects) {
            input.desk().dropAnswer(data);
            return data.withOutcome(new RequestOutcome.Unknown(UnknownReason.ANSWER_NOT_KEPT));
        }
    },
    /** Gives up the room that the record took. */
    DISCARD {
        @Override
        public RunRecordData apply(RunRecordData data, RunRecordInput input, long now, Effects effects) {
            input.desk().discard(data);
            return data;
        }
    }
}
