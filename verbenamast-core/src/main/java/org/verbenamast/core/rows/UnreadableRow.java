package org.verbenamast.core.rows;

/** Stands for the content of a row that another writer has left and that can't be decoded. The row itself exists. */
public enum UnreadableRow implements RowContent {
    /** The only instance. */
    INSTANCE
}
