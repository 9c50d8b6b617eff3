package org.verbenamast.core.lease;

/** The events in the chart of this node's own lease. */
public enum LeaseHolderEvent {
    /** The leases are due for renewal. */
    ASK_DUE,
    /** A lease peer granted a lease. */
    VOUCHED,
    /** A write of the row by this node took effect. */
    ROW_WRITTEN,
    /** The table service showed that the incarnation has not ended. */
    ROW_SHOWN,
    /** This node received a later version of its row. */
    ROW_LEARNT,
    /** The leases that a majority granted have expired. */
    EXPIRED,
    /** The process was suspended for a while. */
    PAUSED,
    /** The renewal timeout passed without a majority of the lease peers. */
    PATIENCE_ENDED,
    /** The quiet period has passed. */
    QUIET_ENDED,
    /** The incarnation has ended. */
    ENDED
}
