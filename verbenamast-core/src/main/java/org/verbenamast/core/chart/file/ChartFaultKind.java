package org.verbenamast.core.chart.file;

/** The kinds of faults that the checks of a chart file report. */
public enum ChartFaultKind {
    /** The file is missing or is not valid JSON of a chart. */
    MALFORMED,
    /** A name is neither a constant of the vocabulary nor, where a state is expected, a state of the file. */
    UNKNOWN_NAME,
    /** Two states share a name. */
    DUPLICATE_STATE,
    /** No chain of transitions leads from the initial state to a state. */
    UNREACHABLE_STATE,
    /** A state that is not final has no transition to another state. */
    DEAD_END,
    /** A final state has transitions or starts timers. */
    FINAL_STATE_GOES_ON,
    /** A state has two transitions with the same event and guard, or one after an unguarded one on the same event. */
    AMBIGUOUS_EVENT,
    /** A timer may still be armed in a state that neither handles its event nor cancels it. */
    UNCANCELLED_TIMER
}
