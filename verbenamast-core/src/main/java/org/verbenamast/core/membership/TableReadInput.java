package org.verbenamast.core.membership;

/** The input of the events of the chart that reads the tables. These events carry no data. */
public record TableReadInput() {

    /** The only input. */
    public static final TableReadInput NONE = new TableReadInput();
}
