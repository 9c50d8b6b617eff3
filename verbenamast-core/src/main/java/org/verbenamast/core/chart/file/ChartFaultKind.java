package org.verbenamast.core.chart.file;

/** The kinds of faults that loading a chart file finds. */
public enum ChartFaultKind {
    /** The file can't be read as a chart. */
    MALFORMED,
    /** A name is no constant of the vocabulary, or no state of the file. */
    UNKNOWN_NAME,
    /** Two states share a name. */
    DUPLICATE_STATE,
    /** A state can't be reached from the initial one. */
    UNREACHABLE_STATE,
    /** A state that is not final has no way out. */
    DEAD_END,
    /** A final state has transitions or starts timers. */
    FINAL_STATE_GOES_ON,
    /** An event of a state has a transition behind one that is always taken. */
    AMBIGUOUS_EVENT,
    /** A timer may still be armed in a state that neither takes its event nor cancels it. */
    UNCANCELLED_TIMER
}
