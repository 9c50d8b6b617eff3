package org.verbenamast.core.entry;

/** The tags that the chart of a request at its entry node gives its states. */
public enum EntryTag {
    /** The controller has to select a server. */
    ROUTING,
    /** The controller has to select a server for a hedge. */
    ROUTING_HEDGE,
    /** The request waits until its key has an owner that can be asked. */
    AWAITING_KEY,
    /** The answer is being sent to the caller. */
    DELIVERING
}
