package org.verbenamast.core.gate.crash;

import java.util.Objects;

import org.verbenamast.core.model.MemberId;

/**
 * The input of an event of chart {@code bootstrap}.
 *
 * @param member the member that the node learned of, or {@link MemberId#NONE} for other events
 */
public record BootstrapInput(MemberId member) {

    /** The input of events that carry no data. */
    public static final BootstrapInput NONE = new BootstrapInput(MemberId.NONE);

    /** Checks that the member is not null. */
    public BootstrapInput {
        Objects.requireNonNull(member, "member");
    }
}
