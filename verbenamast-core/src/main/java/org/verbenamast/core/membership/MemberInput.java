package org.verbenamast.core.membership;

/**
 * What an event tells this node's own membership.
 *
 * @param announcement what the backend server announced, or null for other events
 */
public record MemberInput(ServerAnnouncement announcement) {

    /** The input of events that tell nothing more. */
    public static final MemberInput NONE = new MemberInput(null);
}
