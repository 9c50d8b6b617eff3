package org.verbenamast.core.gate.runs;

import org.verbenamast.core.chart.Guard;
import org.verbenamast.core.request.RequestOutcome;

/** The conditions in the chart of a run's record. */
public enum RunRecordGuard implements Guard<RunRecordData, RunRecordInput> {
    /** The backend server certainly did not run the request. */
    NOT_RUN {
        @Override
        public boolean permits(RunRecordData data, RunRecordInput input, long now) {
            return input.outcome() instanceof RequestOutcome.NotRun;
        }
    }
}
