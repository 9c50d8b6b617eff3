package org.verbenamast.core.model;

import org.verbenamast.core.check.Checks;

/**
 * One run of a node. A node that starts again is another member, so that nothing granted to the earlier run can be
 * mistaken for its own.
 *
 * @param node the name of the node in its settings
 * @param incarnation a number that no other run of this node has
 */
public record MemberId(String node, long incarnation) implements Comparable<MemberId> {

    /** Stands for no member. */
    public static final MemberId NONE = new MemberId("none", 0);

    /** Checks the name. */
    public MemberId {
        Checks.notBlank("node", node);
    }

    /**
     * Reads the form that {@link #toString()} writes.
     *
     * @param text a text such as {@code stock-1~2f}
     * @return the member
     */
    public static MemberId parse(String text) {
        int at = text.lastIndexOf('~');
        if (at <= 0) {
            throw Checks.malformed("member", "node~hex", text);
        }
        try {
            return new MemberId(text.substring(0, at), Long.parseUnsignedLong(text.substring(at + 1), 16));
        } catch (NumberFormatException e) {
            throw Checks.malformed("member", "node~hex", text);
        }
    }

    /**
     * Tells whether this stands for no member.
     *
     * @return whether it is {@link #NONE}
     */
    public boolean isNone() {
        return incarnation == 0;
    }

    @Override
    public int compareTo(MemberId other) {
        int byNode = node.compareTo(other.node);
        return byNode != 0 ? byNode : Long.compareUnsigned(incarnation, other.incarnation);
    }

    @Override
    public String toString() {
        return node + '~' + Long.toHexString(incarnation);
    }
}
