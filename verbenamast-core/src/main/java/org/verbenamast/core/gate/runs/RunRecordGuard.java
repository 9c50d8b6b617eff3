package org.verbenamast.core.gate.runs;

import org.verbenamast.core.chart.Guard;
import org.verbenamast.core.request.RequestOutcome;

/** The guards of chart {@code run}, the record of a run. */
public enum RunRecordGuard implements Guard<RunRecordData, RunRecordInput> {
    /** The backend server is known not to have run the request. */
    NOT_RUN {
        @Override
        public boolean permits(RunRecordData data, RunRecordInput input, long now) {
            return input.outcome() instanceof RequestOutcome.NotRun;
        }
    }
}
