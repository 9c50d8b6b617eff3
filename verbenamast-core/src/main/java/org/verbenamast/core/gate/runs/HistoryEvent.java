package org.verbenamast.core.gate.runs;

/** What may happen to what an owner knows of the earlier runs in a slice. */
public enum HistoryEvent {
    /** The grant of the slice is committed. */
    GRANTED,
    /** The earlier owner sent a part of its records. */
    RECORDS_CAME,
    /** The earlier owner's records were awaited long enough. */
    PATIENCE_OVER,
    /** What ran under earlier owners can't be sent again any more. */
    WINDOW_OVER,
    /** The table service holds another owner now. */
    PASSED_ON
}
