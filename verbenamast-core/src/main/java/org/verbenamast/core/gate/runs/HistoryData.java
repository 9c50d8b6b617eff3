package org.verbenamast.core.gate.runs;

import java.util.Objects;

import org.verbenamast.core.model.SliceId;
import org.verbenamast.core.ownership.SliceGrant;

/**
 * What an owner knows of the earlier runs in a slice.
 *
 * @param slice the slice
 * @param grant the grant under which this node owns it
 * @param limits the bounds of the records
 */
public record HistoryData(SliceId slice, SliceGrant grant, RunLimits limits) {

    /** Checks the parts. */
    public HistoryData {
        Objects.requireNonNull(slice, "slice");
        Objects.requireNonNull(grant, "grant");
        Objects.requireNonNull(limits, "limits");
    }
}
