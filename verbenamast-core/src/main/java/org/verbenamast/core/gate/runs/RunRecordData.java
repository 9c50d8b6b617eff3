package org.verbenamast.core.gate.runs;

import java.util.Objects;

import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.request.RequestOutcome;

/**
 * The record of a run, the data of chart {@code run}.
 *
 * @param key the run key
 * @param id the identity of the send that went to the backend server
 * @param outcome the outcome, or null while the backend server is running the request
 * @param limits the limits of the records
 */
public record RunRecordData(RunKey key, RequestId id, RequestOutcome outcome, RunLimits limits) {

    /** Checks that only the outcome is null. */
    public RunRecordData {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(limits, "limits");
    }

    /**
     * Returns this record with the outcome of the run.
     *
     * @param next the outcome
     * @return the updated record
     */
    public RunRecordData withOutcome(RequestOutcome next) {
        return new RunRecordData(key, id, next, limits);
    }
}
