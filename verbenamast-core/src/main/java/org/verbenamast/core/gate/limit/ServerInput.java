package org.verbenamast.core.gate.limit;

import org.verbenamast.core.membership.ServerAnnouncement;

/**
 * The input of an event of chart {@code server}.
 *
 * @param announcement the announcement that arrived, or null for other events
 * @param latencyNanos the latency of the request that ended, in nanoseconds; 0 for other events
 */
public record ServerInput(ServerAnnouncement announcement, long latencyNanos) {

    /** The input of events that carry no data. */
    public static final ServerInput NONE = new ServerInput(null, 0);
}
