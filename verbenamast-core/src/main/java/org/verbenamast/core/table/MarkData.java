package org.verbenamast.core.table;

import java.util.Objects;

/**
 * The data of a mark on its way into the table service.
 *
 * @param mark the mark, or null before the first
 * @param call the number under which the operator waits, or {@link #NOBODY}
 * @param taken whether the operator set the mark at this node
 * @param desk speaks to the table service and to other members
 */
public record MarkData(MarkRow mark, long call, boolean taken, MarkController desk) {

    /** Stands for no operator who waits. */
    public static final long NOBODY = -1;

    /** Checks the desk. */
    public MarkData {
        Objects.requireNonNull(desk, "desk");
    }

    MarkData answered() {
        return new MarkData(mark, NOBODY, taken, desk);
    }
}
