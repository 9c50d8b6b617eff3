package org.verbenamast.core.gate.runs;

/** The marks that the chart of a slice's history gives its states. */
public enum HistoryTag {
    /** The earlier owner's records are on their way. */
    AWAITED,
    /** Every run that may be sent again is on record here. */
    WHOLE
}
