package org.verbenamast.core.gate.runs;

import java.util.Objects;

import org.verbenamast.core.ownership.SliceGrant;

/**
 * The input of an event of chart {@code history}.
 *
 * @param controller the controller that holds the records
 * @param grant the grant that replaces the known one, or null for other events
 */
public record HistoryInput(RunRecordController controller, SliceGrant grant) {

    /** Checks that the controller is not null. */
    public HistoryInput {
        Objects.requireNonNull(controller, "controller");
    }
}
