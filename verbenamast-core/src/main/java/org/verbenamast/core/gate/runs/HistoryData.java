package org.verbenamast.core.gate.runs;

import java.util.Objects;

import org.verbenamast.core.model.SliceId;
import org.verbenamast.core.ownership.SliceGrant;

/**
 * The data of a slice in chart {@code history}.
 *
 * @param slice the slice
 * @param grant the grant under which this node owns it
 * @param limits the limits of the run records
 */
public record HistoryData(SliceId slice, SliceGrant grant, RunLimits limits) {

    /** Checks that no component is null. */
    public HistoryData {
        Objects.requireNonNull(slice, "slice");
        Objects.requireNonNull(grant, "grant");
        Objects.requireNonNull(limits, "limits");
    }
}
