package org.verbenamast.core.keys;

/** The marks that the chart of a tenure gives its states. */
public enum KeyLeaseTag {
    /** Keys may be granted while the lease lasts. */
    GRANTING
}
