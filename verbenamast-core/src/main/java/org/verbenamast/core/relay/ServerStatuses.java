package org.verbenamast.core.relay;

import java.util.Optional;

import org.verbenamast.core.admission.ServerStatus;
import org.verbenamast.core.backend.BackendStateController;
import org.verbenamast.core.check.Checks;
import org.verbenamast.core.manifest.ServiceRules;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Heartbeat;

/** Derives the status of the backend server that the admission controller decides by. */
final class ServerStatuses {

    /** Time between the last request to a leaving server and the moment from which it may refuse requests. */
    private static final long DRAIN_MARGIN_NANOS = Timing.millisToNanos(200);

    private final BackendStateController backend;
    private long drainMillis;

    ServerStatuses(BackendStateController backend, long drainMillis) {
        this.backend = backend;
        this.drainMillis = drainMillis;
    }

    /** Sets how long a leaving server may still receive requests, in milliseconds. */
    void setDrainMillis(long millis) {
        drainMillis = Checks.positive("millis", millis);
    }

    /** Returns the status of the server, or nothing where none is present. */
    Optional<ServerStatus> current(Optional<ServiceRules> rules) {
        if (backend.lastHeartbeat().isEmpty() || !backend.isPresent()) {
            return Optional.empty();
        }
        Heartbeat heartbeat = backend.lastHeartbeat().get();
        double coldPerSecond = rules.map(ServiceRules::coldPerSecond).orElse(0.0);
        long leaving = backend.leavingSince();
        long keyedUntil = leaving == 0 ? 0 : leaving + Timing.millisToNanos(drainMillis) - DRAIN_MARGIN_NANOS;
        return Optional.of(new ServerStatus(
                heartbeat.incarnation(),
                heartbeat.service(),
                heartbeat.slots(),
                backend.coldUntil(),
                coldPerSecond,
                keyedUntil));
    }
}
