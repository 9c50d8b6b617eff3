package org.verbenamast.core.gate.runs;

import java.util.Objects;

import org.verbenamast.core.request.RequestOutcome;

/**
 * The input of an event of chart {@code run}.
 *
 * @param controller the controller that holds the records
 * @param outcome the outcome of the run, or null for other events
 */
public record RunRecordInput(RunRecordController controller, RequestOutcome outcome) {

    /** Checks that the controller is not null. */
    public RunRecordInput {
        Objects.requireNonNull(controller, "controller");
    }
}
