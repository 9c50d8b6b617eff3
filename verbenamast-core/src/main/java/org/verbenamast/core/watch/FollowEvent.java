package org.verbenamast.core.watch;

/** The events of the chart of a followed table. */
public enum FollowEvent {
    /** The node has started. */
    START,
    /** The first bytes of an answer have arrived, and more of it are to come. */
    ARRIVING,
    /** The store answered with all rows. */
    READ {
        @Override
        boolean isAnswer() {
            return true;
        }
    },
    /** The store answered a waiting call, with changes or, at the end of the wait, without any. */
    CHANGED {
        @Override
        boolean isAnswer() {
            return true;
        }
    },
    /** The changes since the known version are longer than the whole table, and have not been received. */
    OVERSIZED,
    /** The store no longer has all changes since the known version, so that all rows have to be read again. */
    HISTORY_GONE,
    /** The store has come back from an older copy, so that all rows have to be read again. */
    NEW_ERA,
    /** A call to the store failed, or was answered with an older version than the one held. */
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
    CATCH_UP;

    /** Returns whether the store has answered with a version of the table. */
    boolean isAnswer() {
        return false;
    }
}
