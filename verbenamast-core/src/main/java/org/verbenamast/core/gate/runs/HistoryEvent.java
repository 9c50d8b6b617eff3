package org.verbenamast.core.gate.runs;

/** The events of chart {@code history}, the known earlier runs of a slice. */
public enum HistoryEvent {
    /** The grant of the slice to this node is committed. */
    GRANTED,
    /** A part of the earlier owner's records has arrived. */
    RECORDS_CAME,
    /** The timeout for the earlier owner's records has passed. */
    PATIENCE_OVER,
    /** The resend window of the requests that ran under earlier owners has passed. */
    WINDOW_OVER,
    /** The table service holds another grant of the slice. */
    PASSED_ON
}
