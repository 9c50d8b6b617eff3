package org.verbenamast.core.assign;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.verbenamast.core.model.MemberId;

/** The policies for choosing an owner for each slice of a service. */
public enum AssignmentPolicy {
    /** Assigns the slices to the candidates in turn, regardless of their current owners. A baseline. */
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
    /**
     * Assigns each slice whose owner is not a candidate to a random candidate and leaves the others where they are. A
     * baseline. The random generator is seeded by the owners, so the result is reproducible.
     */
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
    /** Gives each candidate a share of the load in proportion to its weight, with as few moves as that needs. */
    BALANCED {
        @Override
        public List<MemberId> targets(AssignmentProblem problem) {
            return new BalancedPlan(problem).targets();
        }
    };

    /**
     * Chooses an owner for each slice. Equal problems always give equal results.
     *
     * @param problem the slices and the candidates
     * @return the owner that each slice should have, by slice number
     */
    public abstract List<MemberId> targets(AssignmentProblem problem);
}
