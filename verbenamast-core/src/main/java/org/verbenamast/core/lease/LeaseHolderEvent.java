package org.verbenamast.core.lease;

/** What may happen to this node's own lease. */
public enum LeaseHolderEvent {
    /** It is time to ask the lease peers again. */
    ASK_DUE,
    /** A lease peer vouched. */
    VOUCHED,
    /** The row was written by this node. */
    ROW_WRITTEN,
    /** The table service showed that the incarnation has not ended. */
    ROW_SHOWN,
    /** A later version of the row is known. */
    ROW_LEARNT,
    /** What the lease peers vouched for has run out. */
    EXPIRED,
    /** The node did not run for a while. */
    PAUSED,
    /** The lease peers did not vouch for long. */
    PATIENCE_ENDED,
    /** The silence has lasted long enough. */
    QUIET_ENDED,
    /** The incarnation is over. */
    ENDED
}
