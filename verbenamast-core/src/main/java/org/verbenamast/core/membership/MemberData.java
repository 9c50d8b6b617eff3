package org.verbenamast.core.membership;

import java.util.Objects;

/**
 * The data of this node's own membership.
 *
 * @param announcement what the backend server announced last, or null before the first time
 * @param controller writes the row
 */
public record MemberData(ServerAnnouncement announcement, MemberController controller) {

    /** Checks the desk. */
    public MemberData {
        Objects.requireNonNull(controller, "desk");
    }
}
