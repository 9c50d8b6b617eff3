package org.verbenamast.core.ownership;

import java.util.Objects;

import org.verbenamast.core.assign.AssignmentPolicy;

/**
 * By what rules slices find their owners.
 *
 * @param policy chooses the owners
 * @param weights tells how much work each member should take
 */
public record OwnershipRules(AssignmentPolicy policy, MemberWeights weights) {

    /** Balances slices over members of the same weight. */
    public static final OwnershipRules DEFAULT = new OwnershipRules(AssignmentPolicy.BALANCED, MemberWeights.EVEN);

    /** Checks the parts. */
    public OwnershipRules {
        Objects.requireNonNull(policy, "policy");
        Objects.requireNonNull(weights, "weights");
    }
}
