package org.verbenamast.core.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.Transition;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.model.ServerLoad;

/**
 * The admission controller in front of the server beside this node (the gate, in logs and in the chart's name). Only
 * this controller sends requests to the server, so the limit on concurrent requests, the rate limit while the server is
 * cold (recently started), and the end of its service are exact. Queued requests are dispatched by priority; within a
 * priority, requests that can still meet their objective, and short ones, go first, then those with the earliest
 * objective or deadline.
 */
public final class AdmissionController {

    /** The events, guards, actions, timers and tags that the chart file may name. */
    public static final Vocabulary<AdmissionEvent, AdmissionGuard, AdmissionAction, AdmissionTimer, AdmissionTag>
            VOCABULARY = new Vocabulary<>(
                    AdmissionEvent.class,
                    AdmissionGuard.class,
                    AdmissionAction.class,
                    AdmissionTimer.class,
                    AdmissionTag.class);

    private final ChartInstances<Long, AdmissionEvent, AdmissionData, AdmissionInput> requests;
    private final AdmissionConditions conditions;
    private final ServerCapacity capacity = new ServerCapacity();
    private final UsefulShare usefulShare = new UsefulShare();
    private final ServiceTimes serviceTimes = new ServiceTimes();
    private final LinkLimits links = new LinkLimits(serviceTimes);
    private final QueueDiscipline discipline = new QueueDiscipline(serviceTimes, links);
    /** The queued requests by number, kept up to date by the transitions of the chart. */
    private final Map<Long, AdmissionRequest> queued = new LinkedHashMap<>();

    /** The requests that wait for their key, by number; kept up to date like {@link #queued}. */
    private final Map<Long, AdmissionRequest> awaitingKey = new LinkedHashMap<>();

    private int running;

    /**
     * Creates a controller that has no server yet.
     *
     * @param rules the conditions that other parts of the node decide
     * @param listener notified of each transition of a request
     */
    public AdmissionController(AdmissionRules rules, TransitionListener listener) {
        this.conditions = new AdmissionConditions(rules);
        this.requests = new ChartInstances<>(
                ChartReader.bundled("gate-request", VOCABULARY),
                event -> AdmissionInput.NONE,
                (chart, subject, event, transition, now) -> {
                    recordTransition((Long) subject, transition, now);
                    listener.onTransition(chart, subject, event, transition, now);
                });
    }

    private void recordTransition(Long id, Transition<?, ?> transition, long now) {
        if (transition.to() == null) {
            return;
        }
        running += transition.to().hasTag(AdmissionTag.RUNNING) ? 1 : 0;
        running -= transition.from().hasTag(AdmissionTag.RUNNING) ? 1 : 0;
        recordMembership(queued, transition.to().hasTag(AdmissionTag.WAITING), id);
        recordMembership(awaitingKey, transition.to().hasTag(AdmissionTag.AWAITING_KEY), id);
        boolean isRunning = transition.to().hasTag(AdmissionTag.RUNNING);
        boolean inFlight = isRunning || transition.to().hasTag(AdmissionTag.SENDING);
        links.answers()
                .record(id, inFlight && requests.find(id).data().request().hasLargeAnswer());
        links.bodies()
                .record(id, isRunning && requests.find(id).data().request().hasLargeBody(), now);
    }

    private void recordMembership(Map<Long, AdmissionRequest> members, boolean isMember, Long id) {
        if (isMember) {
            members.put(id, requests.find(id).data().request());
        } else {
            members.remove(id);
        }
    }

    /**
     * Applies a new status of the server and refuses queued requests that the server can no longer serve.
     *
     * @param status the server's status, or empty if there is no server
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onServerStatus(Optional<ServerStatus> status, long now, Effects effects) {
        if (conditions.recordServer(status)) {
            capacity.reset();
        }
        reviewWaiting(now, effects);
    }

    /**
     * Refuses new and queued requests without a key from now on, because the node is stopping.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void stop(long now, Effects effects) {
        conditions.recordStopping();
        reviewWaiting(now, effects);
    }

    /**
     * Refuses all new and queued requests from now on, because the node is about to exit. Requests that the server is
     * running finish before the exit.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void close(long now, Effects effects) {
        conditions.recordClosed();
        reviewWaiting(now, effects);
    }

    /**
     * Handles a new request: dispatches, queues or refuses it.
     *
     * @param request the request
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onRequest(AdmissionRequest request, long now, Effects effects) {
        requests.begin(request.id(), AdmissionData.initial(request, discipline.answerMillis(request)), now);
        requests.fire(request.id(), AdmissionEvent.JUDGED, decide(request, now), now, effects);
    }

    /**
     * Handles a hedge, whose request another server has already: dispatches it at once or refuses it.
     *
     * @param request the request
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onHedge(AdmissionRequest request, long now, Effects effects) {
        requests.begin(request.id(), AdmissionData.initial(request, discipline.answerMillis(request)), now);
        requests.fire(request.id(), AdmissionEvent.JUDGED, decide(request, now).withoutWait(), now, effects);
    }

    private AdmissionInput decide(AdmissionRequest request, long now) {
        Optional<Refusal> refusal = conditions.findRefusal(request, now);
        if (refusal.isPresent()) {
            return conditions.isKeyExpected(refusal.get(), request, now)
                    ? AdmissionInput.of(AdmissionInput.Verdict.AWAIT_KEY)
                    : AdmissionInput.refused(refusal.get(), 0);
        }
        if (hasRoom(now) && links.allows(request) && queued.values().stream().noneMatch(links::allows)) {
            recordDispatch(true, now);
            return AdmissionInput.of(AdmissionInput.Verdict.DISPATCH);
        }
        double waitMillis = expectedWaitMillis(request, now);
        if (waitMillis <= discipline.maxWaitMillis(request, now)) {
            return AdmissionInput.of(AdmissionInput.Verdict.QUEUE);
        }
        return AdmissionInput.refused(conditions.isCold(now) ? Refusal.COLD : Refusal.FULL, (long) waitMillis);
    }

    private void recordDispatch(boolean isLeftOver, long now) {
        conditions.recordDispatch(now);
        discipline.recordDispatch(isLeftOver);
    }

    private boolean hasRoom(long now) {
        links.bodies().forgetSlow(now);
        return running < usableSlots(now) && conditions.allowsCold(now);
    }

    private int usableSlots(long now) {
        return conditions.server().isEmpty() ? 0 : capacity.usableSlots(conditions.slots(), serviceTimes.millis(), now);
    }

    /**
     * Returns how long a request is expected to wait, in milliseconds: until it gets a slot and there is room for its
     * answer on the node's link and, while the server is cold, until it and those before it have been dispatched at the
     * limited rate.
     */
    private double expectedWaitMillis(AdmissionRequest request, long now) {
        double waitMillis = discipline.waitMillis(request, queued.values(), conditions.slots(), now);
        if (!conditions.isCold(now)) {
            return waitMillis;
        }
        int ahead = discipline.ahead(request, queued.values(), now).size();
        return Math.max(
                waitMillis, (ahead + 1) * 1_000 / conditions.server().get().coldPerSecond());
    }

    /**
     * Handles the end of a request at the server: the server answered, or its connection broke.
     *
     * @param id the request's number
     * @param outcome how it ended
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onFinished(long id, ServerOutcome outcome, long now, Effects effects) {
        Instance<AdmissionData> instance = requests.find(id);
        if (instance == null) {
            return;
        }
        usefulShare.record(outcome);
        boolean answered = outcome.hasServiceTime();
        if (answered && instance.hasTag(AdmissionTag.RUNNING)) {
            serviceTimes.add(
                    instance.data().request().route(), now - instance.data().startedAt());
        }
        AdmissionEvent event = answered ? AdmissionEvent.ANSWERED : AdmissionEvent.BROKEN;
        requests.fire(id, event, AdmissionInput.NONE, now, effects);
        dispatchWaiting(now, effects);
        refuseHopeless(now, effects);
    }

    /**
     * Handles that all of a request's body has arrived.
     *
     * @param id the request's number
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onBodyReceived(long id, long now, Effects effects) {
        links.bodies().recordArrival(id, now);
        dispatchWaiting(now, effects);
    }

    /**
     * Handles a report of the server's load, which comes with an answer.
     *
     * @param load the load
     * @param now the monotonic time, in nanoseconds
     */
    public void onServerLoad(ServerLoad load, long now) {
        capacity.record(load, running, now);
    }

    /**
     * Returns when the sender of a request that the server has rejected may send it again.
     *
     * @return the time in which it is expected to be accepted, in milliseconds
     */
    public long rejectedRetryMillis() {
        double slotMillis = serviceTimes.millis() / Math.max(1, conditions.slots());
        return (long) (capacity.retryMillis(slotMillis * (1 + queued.size())) * usefulShare.sendsPerAnswer());
    }

    /**
     * Handles that the sender has received all of a large answer; ignored if it is not known to be on its way.
     *
     * @param id the request's number
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onReceived(long id, long now, Effects effects) {
        Instance<AdmissionData> instance = requests.find(id);
        if (instance == null || !instance.hasTag(AdmissionTag.SENDING)) {
            return;
        }
        links.answers().recordReceipt(instance.data().answeredAt(), now);
        requests.fire(id, AdmissionEvent.RECEIVED, AdmissionInput.NONE, now, effects);
        dispatchWaiting(now, effects);
    }

    /**
     * Handles the withdrawal of a request by its sender.
     *
     * @param id the request's number
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onWithdrawn(long id, long now, Effects effects) {
        requests.fire(id, AdmissionEvent.WITHDRAWN, AdmissionInput.NONE, now, effects);
        dispatchWaiting(now, effects);
    }

    /** Refuses the waiting requests that the server can no longer serve, then dispatches those that it has room for. */
    private void reviewWaiting(long now, Effects effects) {
        for (AdmissionRequest request : List.copyOf(awaitingKey.values())) {
            AdmissionInput decision = decide(request, now);
            if (decision.verdict() != AdmissionInput.Verdict.AWAIT_KEY) {
                requests.fire(request.id(), AdmissionEvent.KEY_GRANTED, decision, now, effects);
            }
        }
        for (AdmissionRequest request : List.copyOf(queued.values())) {
            Optional<Refusal> refusal = conditions.findRefusal(request, now);
            if (refusal.isPresent()) {
                requests.fire(
                        request.id(), AdmissionEvent.REJECTED, AdmissionInput.refused(refusal.get(), 0), now, effects);
            }
        }
        refuseHopeless(now, effects);
        dispatchWaiting(now, effects);
    }

    /** Refuses the queued requests that later ones keep overtaking until it is too late to answer them. */
    private void refuseHopeless(long now, Effects effects) {
        if (conditions.server().isEmpty() || queued.isEmpty()) {
            return;
        }
        for (AdmissionRequest request : discipline.hopeless(queued.values(), conditions.slots(), now)) {
            AdmissionInput input = AdmissionInput.refused(Refusal.FULL, (long) expectedWaitMillis(request, now));
            requests.fire(request.id(), AdmissionEvent.REJECTED, input, now, effects);
        }
    }

    private void dispatchWaiting(long now, Effects effects) {
        Optional<AdmissionRequest> next = nextToDispatch(now);
        while (next.isPresent()) {
            recordDispatch(discipline.isOvertaken(next.get(), now), now);
            requests.fire(next.get().id(), AdmissionEvent.ROOM, AdmissionInput.NONE, now, effects);
            next = nextToDispatch(now);
        }
    }

    private Optional<AdmissionRequest> nextToDispatch(long now) {
        return queued.isEmpty() || !hasRoom(now)
                ? Optional.empty()
                : queued.values().stream().filter(links::allows).min(discipline.order(now));
    }

    /**
     * Fires the timers that are due, then refuses or dispatches queued requests. A request that waits because the
     * server is cold is dispatched here.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void advance(long now, Effects effects) {
        requests.advance(now, effects);
        reviewWaiting(now, effects);
    }

    /**
     * Ends all open requests like those whose deadline has passed, so that their senders know of it.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void expireAll(long now, Effects effects) {
        List<Long> ids = new ArrayList<>();
        requests.forEach((id, instance) -> ids.add(id));
        ids.forEach(id -> requests.fire(id, AdmissionEvent.TIME_OVER, AdmissionInput.NONE, now, effects));
    }

    /**
     * Returns when the next timer is due or, if the cold limit or the link alone delays a request, when they allow it.
     *
     * @return the monotonic time, in nanoseconds, at which {@link #advance} has work to do
     */
    public long nextDue() {
        if (queued.isEmpty() || running >= conditions.slots()) {
            return requests.nextDue();
        }
        boolean delayedByCold = queued.values().stream().anyMatch(links::allows);
        return Math.min(
                requests.nextDue(),
                delayedByCold ? conditions.nextColdExpiry() : links.bodies().nextExpiry());
    }

    /**
     * Returns the load of the server.
     *
     * @param now the monotonic time, in nanoseconds
     * @return the load, as it is reported to senders
     */
    public AdmissionLoad load(long now) {
        double serviceMillis = serviceTimes.millis() * usefulShare.sendsPerAnswer();
        return conditions.load(running, queued.size(), serviceMillis, now);
    }

    /**
     * Returns for how long a large answer occupies this node's link.
     *
     * @return the time, in milliseconds, as a moving average; 0 before the first large answer
     */
    public double transferMillis() {
        return links.answers().millis();
    }

    /**
     * Returns whether this controller has no open requests.
     *
     * @return whether every request has ended
     */
    public boolean isIdle() {
        return requests.size() == 0;
    }
}
