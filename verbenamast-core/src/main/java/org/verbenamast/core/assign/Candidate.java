package org.verbenamast.core.assign;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.MemberId;

/**
 * A member that may own slices.
 *
 * @param member the member
 * @param weight the share of the work that it should take, relative to the others
 */
public record Candidate(MemberId member, int weight) {

    /** Checks the parts. */
    public Candidate {
        Objects.requireNonNull(member, "member");
        Checks.notNegative("weight", weight);
    }
}
