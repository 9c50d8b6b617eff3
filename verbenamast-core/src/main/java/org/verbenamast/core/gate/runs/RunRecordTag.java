package org.verbenamast.core.gate.runs;

/** The tags of the states of chart {@code run}. */
public enum RunRecordTag {
    /** The run has ended, and its outcome is on record. */
    ENDED
}
