package org.verbenamast.core.membership;

/** What an event tells this node's reading of the tables: nothing beyond that it happened. */
public record TableReadInput() {

    /** The only input. */
    public static final TableReadInput NONE = new TableReadInput();
}
