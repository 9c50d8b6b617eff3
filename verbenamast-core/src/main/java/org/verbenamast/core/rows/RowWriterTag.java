package org.verbenamast.core.rows;

/** The tags of states in the chart of a row writer. */
public enum RowWriterTag {
    /** No call is pending, so that a new transaction may start. */
    FREE
}
