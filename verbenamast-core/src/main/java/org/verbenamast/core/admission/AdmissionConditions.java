package org.verbenamast.core.admission;

import java.util.Objects;
import java.util.Optional;

/** What decides, apart from load, whether a request may be dispatched: the server's status, the node's, and rules. */
final class AdmissionConditions {

    private final AdmissionRules rules;
    private final ColdWindow coldWindow = new ColdWindow();
    private Optional<ServerStatus> server = Optional.empty();
    private boolean stopping;
    private boolean closed;

    AdmissionConditions(AdmissionRules rules) {
        this.rules = Objects.requireNonNull(rules, "rules");
    }

    /** Records a new status of the server and returns whether it is of another incarnation than the last one. */
    boolean recordServer(Optional<ServerStatus> status) {
        boolean another = !server.map(ServerStatus::incarnation).equals(status.map(ServerStatus::incarnation));
        server = status;
        return another;
    }

    void recordStopping() {
        stopping = true;
    }

    void recordClosed() {
        closed = true;
    }

    Optional<ServerStatus> server() {
        return server;
    }

    int slots() {
        return server.map(ServerStatus::slots).orElse(0);
    }

    boolean isCold(long now) {
        return server.filter(status -> now < status.coldUntil() && status.coldPerSecond() > 0)
                .isPresent();
    }

    /** Returns whether the server is not cold, or may get one more request now although it is. */
    boolean allowsCold(long now) {
        return !isCold(now) || coldWindow.allows(server.get().coldPerSecond(), now);
    }

    void recordDispatch(long now) {
        coldWindow.recordDispatch(now);
    }

    /** Returns when a cold server may get another request, in nanoseconds of the monotonic clock. */
    long nextColdExpiry() {
        return coldWindow.nextExpiry();
    }

    AdmissionLoad load(int running, int queued, double serviceMillis, long now) {
        return new AdmissionLoad(running, queued, slots(), (int) Math.max(1, serviceMillis), isCold(now), stopping);
    }

    /** Returns why a request may not be dispatched whatever the load, or empty if it may. */
    Optional<Refusal> findRefusal(AdmissionRequest request, long now) {
        if (server.isEmpty() || !server.get().incarnation().equals(request.incarnation())) {
            return Optional.of(Refusal.WRONG_SERVER);
        }
        ServerStatus status = server.get();
        boolean keyed = request.key().isPresent();
        if (status.isLeaving() && (!keyed || now >= status.keyedUntil())) {
            return Optional.of(Refusal.LEAVING);
        }
        if (closed || stopping && !keyed) {
            return Optional.of(Refusal.STOPPING);
        }
        if (rules.isEvacuated(keyed, now)) {
            return Optional.of(Refusal.EVACUATED);
        }
        if (keyed && !rules.isGranted(request.key().getAsInt(), now)) {
            return Optional.of(Refusal.NOT_OWNER);
        }
        return rules.isSuspect(request.id(), now) ? Optional.of(Refusal.SUSPECT) : Optional.empty();
    }

    boolean isKeyExpected(Refusal refusal, AdmissionRequest request, long now) {
        return refusal == Refusal.NOT_OWNER && rules.isExpected(request.key().orElseThrow(), now);
    }
}
