package org.verbenamast.core.membership;

import java.util.Objects;

/**
 * The data of the membership chart's one instance.
 *
 * @param announcement the last announcement of the backend server, or null before the first one
 * @param controller writes the row
 */
public record MemberData(ServerAnnouncement announcement, MemberController controller) {

    /** Requires the controller. */
    public MemberData {
        Objects.requireNonNull(controller, "controller");
    }
}
