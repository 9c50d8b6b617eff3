package org.verbenamast.core.gate.runs;

import java.util.Objects;

import org.verbenamast.core.request.RequestOutcome;

/**
 * What an event tells the record of a run.
 *
 * @param desk keeps the records
 * @param outcome how the run ended, or null for other events
 */
public record RunRecordInput(RunRecordController desk, RequestOutcome outcome) {

    /** Checks the desk. */
    public RunRecordInput {
        Objects.requireNonNull(desk, "desk");
    }
}
