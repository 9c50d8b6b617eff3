package org.verbenamast.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.node.Timing;

/**
 * The gate in front of the server beside this node. It alone passes requests to the server, so the number that run, the
 * rate while the server is cold, and the end of its service are exact. What waits is passed on by urgency, then by what
 * can still meet its objective, then by how soon it has to.
 */
public final class AdmissionController {

    /** The names that the chart file may use. */
    public static final Vocabulary<AdmissionEvent, AdmissionGuard, AdmissionAction, AdmissionTimer, AdmissionTag>
            VOCABULARY = new Vocabulary<>(
                    AdmissionEvent.class,
                    AdmissionGuard.class,
                    AdmissionAction.class,
                    AdmissionTimer.class,
                    AdmissionTag.class);

    /** Part of the time left until the objective that a request may wait while other servers are left, as a ratio. */
    private static final double OBJECTIVE_WAIT_RATIO = 0.4;
    /** Part of the time left until the deadline that a request may wait where no other server is left, as a ratio. */
    private static final double DEADLINE_WAIT_RATIO = 0.6;

    /** Part of the mean service time up to which a request counts as short, as a ratio. */
    private static final double SHORT_REQUEST_RATIO = 0.5;

    private final ChartInstances<Long, AdmissionEvent, AdmissionData, AdmissionInput> requests;
    private final AdmissionRules rules;
    private final ColdWindow coldWindow = new ColdWindow();
    private final ServiceTimes serviceTimes = new ServiceTimes();
    private Optional<ServerStatus> server = Optional.empty();
    private boolean stopping;
    private boolean closed;

    /**
     * Makes a gate without a server.
     *
     * @param rules what the gate asks of other parts of the node
     * @param listener is told of each transition
     */
    public AdmissionController(AdmissionRules rules, TransitionListener listener) {
        this.rules = Objects.requireNonNull(rules, "rules");
        this.requests = new ChartInstances<>(
                ChartReader.bundled("gate-request", VOCABULARY), event -> AdmissionInput.NONE, listener);
    }

    /**
     * Takes what is known of the server; requests that it can't serve any more are refused.
     *
     * @param standing the server, or nothing where there is none
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void onServerStatus(Optional<ServerStatus> standing, long now, Effects effects) {
        this.server = standing;
        reviewWaiting(now, effects);
    }

    /**
     * Takes in no new requests for services without keys: the node is stopping.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void stop(long now, Effects effects) {
        stopping = true;
        reviewWaiting(now, effects);
    }

    /**
     * Takes in no new requests at all: the node is about to end, and what the server runs is to end before it.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void close(long now, Effects effects) {
        closed = true;
        reviewWaiting(now, effects);
    }

    /**
     * Takes a request.
     *
     * @param request the request
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void onRequest(AdmissionRequest request, long now, Effects effects) {
        requests.begin(request.id(), new AdmissionData(request, serviceNanos(request), 0), now);
        requests.fire(request.id(), AdmissionEvent.JUDGED, decide(request, now), now, effects);
    }

    private long serviceNanos(AdmissionRequest request) {
        return (long) (serviceTimes.millis(request.route()) * Timing.NANOS_PER_MILLI);
    }

    private AdmissionInput decide(AdmissionRequest request, long now) {
        Optional<Refusal> refusal = findRefusal(request, now);
        if (refusal.isPresent()) {
            return AdmissionInput.refused(refusal.get(), 0);
        }
        if (hasRoom(now) && waitingRequests().isEmpty()) {
            coldWindow.recordDispatch(now);
            return AdmissionInput.of(AdmissionInput.Verdict.DISPATCH);
        }
        double wait = expectedWaitMillis(request, now);
        if (wait <= maxWaitMillis(request, now)) {
            return AdmissionInput.of(AdmissionInput.Verdict.QUEUE);
        }
        return AdmissionInput.refused(isCold(now) ? Refusal.COLD : Refusal.FULL, (long) wait);
    }

    private Optional<Refusal> findRefusal(AdmissionRequest request, long now) {
        if (server.isEmpty() || !server.get().incarnation().equals(request.incarnation())) {
            return Optional.of(Refusal.WRONG_SERVER);
        }
        ServerStatus standing = server.get();
        boolean keyed = request.key().isPresent();
        if (standing.isLeaving() && (!keyed || now >= standing.keyedUntil())) {
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
        return rules.isSuspect(request.id()) ? Optional.of(Refusal.SUSPECT) : Optional.empty();
    }

    private boolean isCold(long now) {
        return server.filter(standing -> now < standing.coldUntil() && standing.coldPerSecond() > 0)
                .isPresent();
    }

    private boolean hasRoom(long now) {
        if (server.isEmpty() || runningCount() >= server.get().slots()) {
            return false;
        }
        return !isCold(now) || coldWindow.permits(server.get().coldPerSecond(), now);
    }

    /** Returns for how long a request is expected to wait, in milliseconds. */
    private double expectedWaitMillis(AdmissionRequest request, long now) {
        long ahead = waitingRequests().stream()
                .filter(other -> dispatchOrder(now).compare(other.data().request(), request) <= 0)
                .count();
        double bySlots = (ahead + 1) * serviceTimes.millis() / server.get().slots();
        double byCold = isCold(now) ? (ahead + 1) * 1_000 / server.get().coldPerSecond() : 0;
        return Math.max(bySlots, byCold);
    }

    private double maxWaitMillis(AdmissionRequest request, long now) {
        double service = serviceTimes.millis(request.route());
        double toObjective = millisLeft(request.objectiveAt(), now) - service;
        double toDeadline = millisLeft(request.deadlineAt(), now) - service;
        return request.lastChance() ? DEADLINE_WAIT_RATIO * toDeadline : OBJECTIVE_WAIT_RATIO * toObjective;
    }

    private static double millisLeft(long at, long now) {
        return (double) (at - now) / Timing.NANOS_PER_MILLI;
    }

    private Comparator<AdmissionRequest> dispatchOrder(long now) {
        return Comparator.comparingInt(AdmissionRequest::priority)
                .thenComparing(request -> !canMeetObjective(request, now) && !isShort(request))
                .thenComparingLong(
                        request -> canMeetObjective(request, now) ? request.objectiveAt() : request.deadlineAt());
    }

    private boolean canMeetObjective(AdmissionRequest request, long now) {
        return millisLeft(request.objectiveAt(), now) >= serviceTimes.millis(request.route());
    }

    /** Tells whether a request takes far less than others, so that it delays them least if it goes before them. */
    private boolean isShort(AdmissionRequest request) {
        return serviceTimes.millis(request.route()) <= SHORT_REQUEST_RATIO * serviceTimes.millis();
    }

    private List<Instance<AdmissionData>> waitingRequests() {
        List<Instance<AdmissionData>> waiting = new ArrayList<>();
        requests.forEach((id, instance) -> {
            if (instance.is(AdmissionTag.WAITING)) {
                waiting.add(instance);
            }
        });
        return waiting;
    }

    private int runningCount() {
        int[] running = {0};
        requests.forEach((id, instance) -> running[0] += instance.is(AdmissionTag.RUNNING) ? 1 : 0);
        return running[0];
    }

    /**
     * Notes that the server has answered a request, or that its connection has broken.
     *
     * @param id the request's number
     * @param answered whether the server answered, so that the time it took tells how fast it is
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void onFinished(long id, boolean answered, long now, Effects effects) {
        Instance<AdmissionData> instance = requests.find(id);
        if (instance == null) {
            return;
        }
        if (answered && instance.is(AdmissionTag.RUNNING)) {
            serviceTimes.add(
                    instance.data().request().route(), now - instance.data().startedAt());
        }
        requests.fire(id, AdmissionEvent.FINISHED, AdmissionInput.NONE, now, effects);
        dispatchWaiting(now, effects);
    }

    /**
     * Notes that the sender no longer wants a request.
     *
     * @param id the request's number
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void onWithdrawn(long id, long now, Effects effects) {
        requests.fire(id, AdmissionEvent.WITHDRAWN, AdmissionInput.NONE, now, effects);
        dispatchWaiting(now, effects);
    }

    /** Refuses what waits and can't be served any more, then passes on what can. */
    private void reviewWaiting(long now, Effects effects) {
        for (Instance<AdmissionData> each : waitingRequests()) {
            AdmissionRequest request = each.data().request();
            Optional<Refusal> refusal = findRefusal(request, now);
            if (refusal.isPresent()) {
                requests.fire(
                        request.id(), AdmissionEvent.REJECTED, AdmissionInput.refused(refusal.get(), 0), now, effects);
            }
        }
        dispatchWaiting(now, effects);
    }

    private void dispatchWaiting(long now, Effects effects) {
        while (hasRoom(now)) {
            Optional<AdmissionRequest> next = waitingRequests().stream()
                    .map(instance -> instance.data().request())
                    .min(dispatchOrder(now));
            if (next.isEmpty()) {
                return;
            }
            coldWindow.recordDispatch(now);
            requests.fire(next.get().id(), AdmissionEvent.ROOM, AdmissionInput.NONE, now, effects);
        }
    }

    /**
     * Fires the timers that are due and passes on what waits for a cold server.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void advance(long now, Effects effects) {
        requests.advance(now, effects);
        reviewWaiting(now, effects);
    }

    /**
     * Returns when this desk has something to do next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        boolean held =
                server.filter(standing -> runningCount() < standing.slots()).isPresent()
                        && !waitingRequests().isEmpty();
        return held ? Math.min(requests.nextDue(), coldWindow.nextExpiry()) : requests.nextDue();
    }

    /**
     * Tells how busy the server is.
     *
     * @param now the monotonic time, in nanoseconds
     * @return the load
     */
    public AdmissionLoad load(long now) {
        int slots = server.map(ServerStatus::slots).orElse(0);
        return new AdmissionLoad(
                runningCount(),
                waitingRequests().size(),
                slots,
                (int) Math.max(1, serviceTimes.millis()),
                isCold(now),
                stopping);
    }

    /**
     * Tells whether no request is here.
     *
     * @return whether the gate has nothing left to do
     */
    public boolean isIdle() {
        return requests.size() == 0;
    }
}
