package org.verbenamast.core.keys;

/** The tags that the {@code tenure} chart gives its states. */
public enum KeyLeaseTag {
    /** Keys may be granted until the lease expires. */
    GRANTING
}
