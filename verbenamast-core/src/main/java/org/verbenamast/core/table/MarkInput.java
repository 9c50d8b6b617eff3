package org.verbenamast.core.table;

/**
 * What an event tells a mark.
 *
 * @param mark the mark, or null for events that bring none
 * @param call the number under which the operator waits, or {@link MarkData#NOBODY}
 * @param effectUnknown whether a write may have taken effect all the same
 */
public record MarkInput(MarkRow mark, long call, boolean effectUnknown) {

    /** The input of events that tell nothing. */
    public static final MarkInput NONE = new MarkInput(null, MarkData.NOBODY, false);
}
