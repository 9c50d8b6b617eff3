package org.verbenamast.core.membership;

/** What an event tells this node's reading of the tables: nothing beyond that it happened. */
public record ReadingInput() {

    /** The only input. */
    public static final ReadingInput NONE = new ReadingInput();
}
