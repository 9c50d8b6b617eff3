package org.verbenamast.core.assign;

import java.util.List;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.MemberId;

/**
 * What the choice of an owner for each slice of a service depends on.
 *
 * @param owners the present owner of each slice, by slice number; {@link MemberId#NONE} for a vacant one
 * @param heats how many ordinary slices each slice counts as, by slice number; at least 1 each
 * @param candidates the members that may own slices, in the order of their ids; at least one
 */
public record AssignmentProblem(List<MemberId> owners, List<Integer> heats, List<Candidate> candidates) {

    /** Checks the sizes and copies the lists. */
    public AssignmentProblem {
        owners = List.copyOf(owners);
        heats = List.copyOf(heats);
        candidates = List.copyOf(candidates);
        Checks.within("heats", heats.size(), owners.size(), owners.size());
        Checks.positive("candidates", candidates.size());
        heats.forEach(heat -> Checks.positive("heat", heat));
    }
}
