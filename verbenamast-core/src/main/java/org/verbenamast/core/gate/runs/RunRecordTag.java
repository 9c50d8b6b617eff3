package org.verbenamast.core.gate.runs;

/** The marks that the chart of a run's record gives its states. */
public enum RunRecordTag {
    /** How the run ended is known. */
    ENDED
}
