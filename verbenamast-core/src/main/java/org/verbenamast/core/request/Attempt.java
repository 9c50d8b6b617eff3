package org.verbenamast.core.request;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.MemberId;

/**
 * One try of a request that a member has.
 *
 * @param number the number of the try, from one
 * @param member the member
 * @param sentAt when the request was sent, in nanoseconds
 */
public record Attempt(int number, MemberId member, long sentAt) {

    /** Checks the parts. */
    public Attempt {
        Checks.positive("attempt", number);
        Objects.requireNonNull(member, "member");
    }
}
