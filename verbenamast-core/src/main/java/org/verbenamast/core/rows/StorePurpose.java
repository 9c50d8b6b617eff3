package org.verbenamast.core.rows;

/** Which part of a node called the store, so that the result finds its way back. */
public enum StorePurpose {
    /** The row of this node. */
    MEMBERSHIP,
    /** The lease under which this node grants keys. */
    TENURE,
    /** The key map of this node's service. */
    KEY_MAP,
    /** The leases of other servers that may be lost. */
    LEASE_WATCH
}
