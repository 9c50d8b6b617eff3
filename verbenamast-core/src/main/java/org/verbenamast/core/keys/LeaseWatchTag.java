package org.verbenamast.core.keys;

/** The marks that the chart of a watched lease gives its states. */
public enum LeaseWatchTag {
    /** Nobody grants keys under this lease any more, unless its row has another version. */
    LAPSED
}
