package org.verbenamast.core.ownership;

import org.verbenamast.core.membership.MemberRow;

/** Tells how much work each member should take. */
@FunctionalInterface
public interface MemberWeights {

    /** Gives all members the same weight. */
    MemberWeights EVEN = member -> 1;

    /**
     * Returns the weight of a member.
     *
     * @param member the member's row
     * @return the share of the work that it should take, relative to the other members of its service; 0 for none
     */
    int weightOf(MemberRow member);
}
