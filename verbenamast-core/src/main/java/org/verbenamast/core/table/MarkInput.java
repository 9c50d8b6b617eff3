package org.verbenamast.core.table;

/**
 * The input of an event of the chart {@code mark}.
 *
 * @param mark the mark, or null for events without one
 * @param callId the id of the operator's call that waits for the answer, or {@link MarkData#NO_CALL}
 * @param effectUnknown whether the failed write may have taken effect
 */
public record MarkInput(MarkRow mark, long callId, boolean effectUnknown) {

    /** The input of events without data. */
    public static final MarkInput NONE = new MarkInput(null, MarkData.NO_CALL, false);
}
