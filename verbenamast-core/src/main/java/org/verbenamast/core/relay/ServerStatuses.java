package org.verbenamast.core.relay;

import java.util.Optional;

import org.verbenamast.core.admission.ServerStatus;
import org.verbenamast.core.backend.BackendController;
import org.verbenamast.core.check.Checks;
import org.verbenamast.core.manifest.ServiceRules;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Heartbeat;
import org.verbenamast.core.roster.ServerState;

/** What the gate is told of the server behind it. */
final class ServerStatuses {

    /** Time by which a leaving server gets its last request before it may refuse, in nanoseconds. */
    private static final long DRAIN_MARGIN = Timing.millisToNanos(200);

    private final BackendController backend;
    private long drainMillis;

    ServerStatuses(BackendController backend, long drainMillis) {
        this.backend = backend;
        this.drainMillis = drainMillis;
    }

    /** Takes how long a server that leaves may still get requests, in milliseconds. */
    void drainFor(long millis) {
        drainMillis = Checks.positive("millis", millis);
    }

    /** Returns the standing of the server, or nothing where there is none. */
    Optional<ServerStatus> present(Optional<ServiceRules> rules) {
        if (backend.last().isEmpty() || backend.state() == ServerState.LEFT) {
            return Optional.empty();
        }
        Heartbeat last = backend.last().get();
        double coldPerSecond = rules.map(ServiceRules::coldPerSecond).orElse(0.0);
        long leaving = backend.leavingSince();
        long keyedUntil = leaving == 0 ? 0 : leaving + Timing.millisToNanos(drainMillis) - DRAIN_MARGIN;
        return Optional.of(new ServerStatus(
                last.life(), last.service(), last.slots(), backend.coldUntil(), coldPerSecond, keyedUntil));
    }
}
