package org.verbenamast.core.table;

/** The kinds of subjects of marks. */
public enum MarkKind {
    /** An availability zone. */
    ZONE,
    /** A backend server. */
    SERVER
}
