package org.verbenamast.core.table;

/** The tags of states in the chart {@code mark}. */
public enum MarkTag {
    /** The mark is in force here, but the table service is not known to store it. */
    NOT_DURABLE
}
