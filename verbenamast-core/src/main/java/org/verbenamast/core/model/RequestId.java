package org.verbenamast.core.model;

import java.util.Objects;

/**
 * The identity of a request, unique among all nodes.
 *
 * @param entry the entry node: the member that received the request from its caller
 * @param sequence a number that this member uses only once
 */
public record RequestId(MemberId entry, long sequence) {

    /** Checks that the entry node is not null. */
    public RequestId {
        Objects.requireNonNull(entry, "entry");
    }

    @Override
    public String toString() {
        return entry + "/" + sequence;
    }
}
