package org.verbenamast.core.gate.crash;

import java.util.Objects;

import org.verbenamast.core.model.MemberId;

/**
 * What an event tells a node that has just started.
 *
 * @param member the member that was learnt, or {@link MemberId#NONE}
 */
public record BootstrapInput(MemberId member) {

    /** The input of events that tell nothing more. */
    public static final BootstrapInput NONE = new BootstrapInput(MemberId.NONE);

    /** Checks the member. */
    public BootstrapInput {
        Objects.requireNonNull(member, "member");
    }
}
