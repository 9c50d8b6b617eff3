package org.verbenamast.core.backend;

import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Heartbeat;

/**
 * The data of the backend server beside this node in chart {@code backend}.
 *
 * @param lastHeartbeat the newest heartbeat, or empty before the first one
 * @param coldUntil the monotonic time from which the server bears its full load, in nanoseconds
 * @param leavingSince the monotonic time at which this node first received notice that the server is leaving, in
 *     nanoseconds; 0 if it is not leaving
 */
public record BackendData(Optional<Heartbeat> lastHeartbeat, long coldUntil, long leavingSince) {

    /** Checks that the heartbeat is not null. */
    public BackendData {
        Objects.requireNonNull(lastHeartbeat, "lastHeartbeat");
    }

    static BackendData initial() {
        return new BackendData(Optional.empty(), 0, 0);
    }

    BackendData withHeartbeat(Heartbeat heartbeat, long now) {
        long until = now + Timing.millisToNanos(heartbeat.coldMillis());
        return new BackendData(Optional.of(heartbeat), until, leavingSince);
    }

    BackendData withLeavingSince(long now) {
        return new BackendData(lastHeartbeat, coldUntil, leavingSince == 0 ? now : leavingSince);
    }

    BackendData withoutLeavingSince() {
        return new BackendData(lastHeartbeat, coldUntil, 0);
    }
}
