package org.verbenamast.core.table;

/** What a mark takes out of service or brings back. */
public enum MarkKind {
    /** An availability zone. */
    ZONE,
    /** A backend server. */
    SERVER
}
