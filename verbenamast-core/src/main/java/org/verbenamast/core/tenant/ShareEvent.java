package org.verbenamast.core.tenant;

/** The events of chart {@code cap-share}, a node's share of the caps. */
public enum ShareEvent {
    /** A report to the bank is due, because time has passed or tokens are wanted. */
    REPORT_DUE,
    /** A bank has answered a report. */
    ANSWERED,
    /** The time for which the share was ceded is over. */
    TERM_OVER
}
