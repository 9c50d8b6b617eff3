package org.verbenamast.core.model;

import java.util.Objects;

/**
 * The identity of one request in the whole fleet.
 *
 * @param entry the member that took the request from the caller
 * @param sequence a number that the member uses once
 */
public record RequestId(MemberId entry, long sequence) {

    /** Checks that the member is given. */
    public RequestId {
        Objects.requireNonNull(entry, "entry");
    }

    @Override
    public String toString() {
        return entry + "/" + sequence;
    }
}
