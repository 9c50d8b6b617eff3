package org.verbenamast.core.watch;

/** The events of the chart of a followed table. */
public enum FollowEvent {
    /** The node has started. */
    START,
    /** The store answered with all rows. */
    READ,
    /** The store answered a waiting call, with changes or, at the end of the wait, without any. */
    CHANGED,
    /** The store no longer has all changes since the known version, so that all rows have to be read again. */
    HISTORY_GONE,
    /** A call to the store failed. */
    FAILED,
    /** The delay before the next call has elapsed. */
    PAUSE_OVER,
    /** As far as this node knows, the store has answered no node within the silence time-out. */
    SILENT,
    /** This node received rows other than by following the table. */
    SAW,
    /** The store answered another node that knows at least as much as this one. */
    PROVEN,
    /** Another node knows a newer row than this one. */
    BEHIND,
    /** The time for a row that another node knows to arrive without a further call has elapsed. */
    CATCH_UP
}
