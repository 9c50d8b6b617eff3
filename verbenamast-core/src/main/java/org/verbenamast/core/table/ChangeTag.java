package org.verbenamast.core.table;

/** The marks of states in the chart of a change of the table. */
public enum ChangeTag {
    /** The change may still be signed off. */
    OPEN,
    /** The content is to become a version of the table. */
    TAKES_FORCE,
    /** The change was on an earlier version of the table. */
    STALE
}
