package org.verbenamast.core.assign;

import java.util.List;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.MemberId;

/**
 * The input to the choice of an owner for each slice of a service.
 *
 * @param owners the current owner of each slice, by slice number; {@link MemberId#NONE} for a vacant one
 * @param loads the load of each slice as a multiple of an ordinary slice's load, by slice number; at least 1 each
 * @param candidates the members that may own slices, ordered by id; at least one
 */
public record AssignmentProblem(List<MemberId> owners, List<Integer> loads, List<Candidate> candidates) {

    /** Checks that there is one load per slice and at least one candidate, and copies the lists. */
    public AssignmentProblem {
        owners = List.copyOf(owners);
        loads = List.copyOf(loads);
        candidates = List.copyOf(candidates);
        Checks.within("loads", loads.size(), owners.size(), owners.size());
        Checks.positive("candidates", candidates.size());
        loads.forEach(load -> Checks.positive("load", load));
    }
}
