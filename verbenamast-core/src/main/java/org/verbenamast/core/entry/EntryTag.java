package org.verbenamast.core.entry;

/** The marks that the chart of a request at its entry gives its states. */
public enum EntryTag {
    /** A server is to be looked for. */
    ROUTING
}
