package org.verbenamast.core.membership;

/**
 * The input of an event of the membership chart.
 *
 * @param announcement what the backend server announced, or null for other events
 */
public record MemberInput(ServerAnnouncement announcement) {

    /** The input of events that carry no data. */
    public static final MemberInput NONE = new MemberInput(null);
}
