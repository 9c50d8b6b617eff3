package org.verbenamast.core.table;

/** The tags of states in the chart {@code change}. */
public enum ChangeTag {
    /** The change accepts further commands. */
    OPEN,
    /** The content becomes the next version of the table. */
    TAKES_EFFECT,
    /** The change was based on a version of the table that has been replaced. */
    STALE
}
