package org.verbenamast.core.gate.runs;

/** The tags of the states of chart {@code history}. */
public enum HistoryTag {
    /** The earlier owner's records are in transit. */
    AWAITED,
    /** Every run whose request may be resent is on record at this node. */
    WHOLE
}
