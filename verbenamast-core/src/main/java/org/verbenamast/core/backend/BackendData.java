package org.verbenamast.core.backend;

import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Heartbeat;
import org.verbenamast.core.roster.ServerIncarnation;

/**
 * The data of the backend server beside this node in chart {@code backend}.
 *
 * @param server the incarnation known, or empty where there has been none
 * @param lastHeartbeat the newest heartbeat of that incarnation, or empty before the first one since this node started
 * @param coldUntil the monotonic time from which the server bears its full load, in nanoseconds
 * @param leavingSince the monotonic time at which this node first received notice that the server is leaving, in
 *     nanoseconds; 0 if it is not leaving, {@link #BEFORE_START} if an earlier process of this node received it
 */
public record BackendData(
        Optional<KnownServer> server, Optional<Heartbeat> lastHeartbeat, long coldUntil, long leavingSince) {

    /** A monotonic time before the start of this node, in nanoseconds. */
    static final long BEFORE_START = Long.MIN_VALUE / 2;

    /** Checks that no component is null. */
    public BackendData {
        Objects.requireNonNull(server, "server");
        Objects.requireNonNull(lastHeartbeat, "lastHeartbeat");
    }

    static BackendData initial() {
        return new BackendData(Optional.empty(), Optional.empty(), 0, 0);
    }

    BackendData withRestored(ServerIncarnation incarnation, long now) {
        return new BackendData(
                Optional.of(KnownServer.first(incarnation, now)), lastHeartbeat, coldUntil, leavingSince);
    }

    BackendData withHeartbeat(Heartbeat heartbeat, long now) {
        ServerIncarnation sender = heartbeat.incarnation();
        KnownServer next =
                server.map(known -> known.after(sender, now)).orElseGet(() -> KnownServer.first(sender, now));
        long until = now + Timing.millisToNanos(heartbeat.coldMillis());
        return new BackendData(Optional.of(next), Optional.of(heartbeat), until, leavingSince);
    }

    BackendData withLeaveNotice(long now) {
        return new BackendData(server.map(known -> known.withNoticeAt(now)), lastHeartbeat, coldUntil, leavingSince);
    }

    BackendData withLeavingSince(long since) {
        return new BackendData(server, lastHeartbeat, coldUntil, leavingSince == 0 ? since : leavingSince);
    }

    BackendData withoutLeavingSince() {
        return new BackendData(server, lastHeartbeat, coldUntil, 0);
    }
}
