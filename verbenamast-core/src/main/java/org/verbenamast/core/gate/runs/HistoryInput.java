package org.verbenamast.core.gate.runs;

import java.util.Objects;

import org.verbenamast.core.ownership.SliceGrant;

/**
 * What an event tells a slice's history.
 *
 * @param desk keeps the records
 * @param grant the grant that the table service holds now, or null for other events
 */
public record HistoryInput(RunRecordController desk, SliceGrant grant) {

    /** Checks the desk. */
    public HistoryInput {
        Objects.requireNonNull(desk, "desk");
    }
}
