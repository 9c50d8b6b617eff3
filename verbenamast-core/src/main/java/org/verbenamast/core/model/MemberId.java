package org.verbenamast.core.model;

import org.verbenamast.core.check.Checks;

/**
 * One incarnation of a node. A node that restarts is a new member, so it can't mistake anything that was granted to its
 * earlier incarnation for its own.
 *
 * @param node the name of the node in its settings
 * @param incarnation a number that is unique among the incarnations of this node
 */
public record MemberId(String node, long incarnation) implements Comparable<MemberId> {

    /** A placeholder for no member. */
    public static final MemberId NONE = new MemberId("none", 0);

    /** Checks that the node's name is not blank. */
    public MemberId {
        Checks.notBlank("node", node);
    }

    /**
     * Parses the form that {@link #toString()} returns.
     *
     * @param text a string such as {@code stock-1~2f}
     * @return the member
     */
    public static MemberId parse(String text) {
        int tilde = text.lastIndexOf('~');
        if (tilde <= 0) {
            throw Checks.malformed("member", "node~hex", text);
        }
        try {
            return new MemberId(text.substring(0, tilde), Long.parseUnsignedLong(text.substring(tilde + 1), 16));
        } catch (NumberFormatException e) {
            throw Checks.malformed("member", "node~hex", text);
        }
    }

    /**
     * Returns whether this is the placeholder for no member.
     *
     * @return whether the incarnation is zero, as in {@link #NONE}
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
