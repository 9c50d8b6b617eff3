package org.verbenamast.core.assign;

import java.util.ArrayList;
import java.util.List;

import org.verbenamast.core.model.MemberId;

/** The ways of choosing an owner for each slice of a service. */
public enum AssignmentPolicy {
    /** Deals the slices out in turn, whoever owns them now. A baseline. */
    ROUND_ROBIN {
        @Override
        public List<MemberId> targets(List<MemberId> owners, List<Candidate> candidates) {
            List<MemberId> targets = new ArrayList<>();
            for (int slice = 0; slice < owners.size(); slice++) {
                targets.add(candidates.get(slice % candidates.size()).member());
            }
            return targets;
        }
    },
    /** Gives each candidate its share by weight and moves as few slices as that needs. */
    BALANCED {
        @Override
        public List<MemberId> targets(List<MemberId> owners, List<Candidate> candidates) {
            return new BalancedPlan(owners, candidates).targets();
        }
    };

    /**
     * Chooses an owner for each slice. The same arguments always give the same result.
     *
     * @param owners the present owner of each slice, by slice number; {@link MemberId#NONE} for a vacant one
     * @param candidates the members that may own slices, in the order of their ids; at least one
     * @return the owner that each slice should have, by slice number
     */
    public abstract List<MemberId> targets(List<MemberId> owners, List<Candidate> candidates);
}
