package org.verbenamast.core.lease;

/** The tags of states in the chart of this node's own lease. */
public enum LeaseHolderTag {
    /** The node may serve until the lease expires. */
    HOLDS
}
