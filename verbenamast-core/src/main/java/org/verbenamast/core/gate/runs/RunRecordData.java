package org.verbenamast.core.gate.runs;

import java.util.Objects;

import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.request.RequestOutcome;

/**
 * The record of a run.
 *
 * @param key what identifies the run
 * @param id the identity of the send that was given to the backend server
 * @param outcome how it ended, or null while the backend server has it
 * @param limits the bounds of the records
 */
public record RunRecordData(RunKey key, RequestId id, RequestOutcome outcome, RunLimits limits) {

    /** Checks the parts. */
    public RunRecordData {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(limits, "limits");
    }

    /**
     * Returns this record with the end of the run.
     *
     * @param next how it ended
     * @return the changed record
     */
    public RunRecordData withOutcome(RequestOutcome next) {
        return new RunRecordData(key, id, next, limits);
    }
}
