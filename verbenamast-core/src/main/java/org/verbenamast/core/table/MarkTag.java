package org.verbenamast.core.table;

/** The marks of states in the chart of a mark. */
public enum MarkTag {
    /** The mark is in force here, but the table service is not known to have it. */
    NOT_DURABLE
}
