package org.verbenamast.wire;

import java.util.Objects;

import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.MemberId;

/**
 * What the first message of a connection tells besides the message itself.
 *
 * @param peer where the sender listens for other members
 * @param to the member that the connection is meant for, or {@link MemberId#NONE} where only an address is known
 */
public record Opening(Address peer, MemberId to) {

    /** Checks that each part is given. */
    public Opening {
        Objects.requireNonNull(peer, "peer");
        Objects.requireNonNull(to, "to");
    }

    /**
     * Tells whether a member may take the connection.
     *
     * @param member the member that accepted it
     * @return whether the connection is meant for it or for whoever listens
     */
    public boolean isFor(MemberId member) {
        return to.isNone() || to.equals(member);
    }
}
