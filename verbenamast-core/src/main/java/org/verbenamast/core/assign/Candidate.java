package org.verbenamast.core.assign;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.MemberId;

/**
 * A member that may own slices.
 *
 * @param member the member
 * @param weight the share of the load that it should get, relative to the other candidates; 0 for none
 */
public record Candidate(MemberId member, int weight) {

    /** Checks that the weight is not negative. */
    public Candidate {
        Objects.requireNonNull(member, "member");
        Checks.notNegative("weight", weight);
    }
}
