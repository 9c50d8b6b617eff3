package org.verbenamast.core.entry;

import java.util.Objects;

import org.verbenamast.core.roster.Member;

/**
 * An attempt of a request.
 *
 * @param number the number of the attempt, counted from one within the request
 * @param target the member that the request was sent to
 * @param sentAt when the attempt was opened, in nanoseconds of the monotonic clock
 */
public record SentAttempt(int number, Member target, long sentAt) {

    /** Checks the member. */
    public SentAttempt {
        Objects.requireNonNull(target, "target");
    }
}
