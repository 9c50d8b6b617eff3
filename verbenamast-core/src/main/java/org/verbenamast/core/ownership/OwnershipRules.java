package org.verbenamast.core.ownership;

import java.util.Objects;

import org.verbenamast.core.assign.AssignmentPolicy;

/**
 * The rules that assign slices to members.
 *
 * @param policy chooses the owner of each slice
 * @param weights gives the share of the slices that each member should own
 */
public record OwnershipRules(AssignmentPolicy policy, MemberWeights weights) {

    /** Balances the load of the slices over members of equal weight. */
    public static final OwnershipRules DEFAULT = new OwnershipRules(AssignmentPolicy.BALANCED, MemberWeights.EVEN);

    /** Checks that both rules are present. */
    public OwnershipRules {
        Objects.requireNonNull(policy, "policy");
        Objects.requireNonNull(weights, "weights");
    }
}
