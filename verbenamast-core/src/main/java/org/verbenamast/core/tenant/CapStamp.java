package org.verbenamast.core.tenant;

/**
 * A time of a bank. Only the bank that made a stamp compares it, so that clocks need not agree.
 *
 * @param incarnation the incarnation of the node that made the stamp
 * @param at the monotonic time of that node, in nanoseconds
 */
public record CapStamp(long incarnation, long at) {

    /** The stamp of no bank. */
    public static final CapStamp NONE = new CapStamp(0, 0);
}
