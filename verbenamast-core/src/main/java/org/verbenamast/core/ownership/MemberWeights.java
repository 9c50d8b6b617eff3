package org.verbenamast.core.ownership;

import org.verbenamast.core.membership.MemberRow;

/** Returns the weight of each member: its share of the slices relative to other members of the service. */
@FunctionalInterface
public interface MemberWeights {

    /** Gives each member the weight 1. */
    MemberWeights EVEN = member -> 1;

    /**
     * Returns the weight of a member.
     *
     * @param member the member's row
     * @return the weight, relative to the other members of its service; 0 if the member should own no slices
     */
    int weightOf(MemberRow member);
}
