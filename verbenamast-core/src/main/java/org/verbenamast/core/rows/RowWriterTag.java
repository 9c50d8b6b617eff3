package org.verbenamast.core.rows;

/** The marks that the chart of a row writer gives its states. */
public enum RowWriterTag {
    /** A new transaction may begin. */
    FREE
}
