package org.verbenamast.core.gate.limit;

import org.verbenamast.core.membership.ServerAnnouncement;

/**
 * What an event tells the chart of the backend server.
 *
 * @param announcement what the backend server announced, or null for other events
 * @param latencyNanos how long the request that ended lasted, in nanoseconds; 0 for other events
 */
public record ServerInput(ServerAnnouncement announcement, long latencyNanos) {

    /** The input of events that tell nothing more. */
    public static final ServerInput NONE = new ServerInput(null, 0);
}
