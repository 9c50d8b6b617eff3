package org.verbenamast.core.request;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.MemberId;

/**
 * One attempt of a request: the request as this node sent it to one member, until the outcome is known.
 *
 * @param number the number of the attempt within the request, starting at 1
 * @param member the member that the request was sent to
 * @param sentAt the monotonic time at which the request was sent, in nanoseconds
 */
public record Attempt(int number, MemberId member, long sentAt) {

    /** Checks that the number is positive and the member is not null. */
    public Attempt {
        Checks.positive("attempt", number);
        Objects.requireNonNull(member, "member");
    }
}
