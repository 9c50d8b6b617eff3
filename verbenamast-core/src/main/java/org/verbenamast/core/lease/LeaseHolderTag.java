package org.verbenamast.core.lease;

/** The marks that the chart of a lease gives its states. */
public enum LeaseHolderTag {
    /** The node may serve as long as the lease has not run out. */
    HOLDS
}
