package org.verbenamast.core.keys;

/** The tags that the {@code lease-watch} chart gives its states. */
public enum LeaseWatchTag {
    /** No node grants keys under this lease any longer, unless its row has changed since it was read. */
    LAPSED
}
