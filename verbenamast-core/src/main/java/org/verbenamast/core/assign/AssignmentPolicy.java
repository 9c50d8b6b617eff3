package org.verbenamast.core.assign;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.verbenamast.core.model.MemberId;

/** The ways of choosing an owner for each slice of a service. */
public enum AssignmentPolicy {
    /** Deals the slices out in turn, whoever owns them now. A baseline. */
    ROUND_ROBIN {
        @Override
        public List<MemberId> targets(AssignmentProblem problem) {
            List<Candidate> candidates = problem.candidates();
            List<MemberId> targets = new ArrayList<>();
            for (int slice = 0; slice < problem.owners().size(); slice++) {
                targets.add(candidates.get(slice % candidates.size()).member());
            }
            return targets;
        }
    },
    /** Gives a slice whose owner is gone to any candidate and leaves the others where they are. A baseline. */
    RANDOM {
        @Override
        public List<MemberId> targets(AssignmentProblem problem) {
            Random random = new Random(problem.owners().hashCode());
            List<MemberId> members =
                    problem.candidates().stream().map(Candidate::member).toList();
            List<MemberId> targets = new ArrayList<>();
            for (MemberId owner : problem.owners()) {
                targets.add(members.contains(owner) ? owner : members.get(random.nextInt(members.size())));
            }
            return targets;
        }
    },
    /** Gives each candidate its share by weight and heat, and moves as few slices as that needs. */
    BALANCED {
        @Override
        public List<MemberId> targets(AssignmentProblem problem) {
            return new BalancedPlan(problem).targets();
        }
    };

    /**
     * Chooses an owner for each slice. The same problem always has the same result.
     *
     * @param problem the slices and the candidates
     * @return the owner that each slice should have, by slice number
     */
    public abstract List<MemberId> targets(AssignmentProblem problem);
}
