package org.verbenamast.core.rows;

/** The part of a node that made a call to the store, which receives the result. */
public enum StorePurpose {
    /** Writes the rows of this node: what it is, and the crashes that it reports. */
    MEMBERSHIP,
    /** Renews the key lease under which this node grants keys. */
    TENURE,
    /** Writes the key map of this node's service. */
    KEY_MAP,
    /** Watches the key leases of other servers that may be lost. */
    LEASE_WATCH
}
