package org.verbenamast.core.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

import org.verbenamast.core.admission.AdmissionLoad;
import org.verbenamast.core.admission.Refusal;
import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.gate.crash.CrashReportController;
import org.verbenamast.core.gate.crash.Fingerprint;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.Roster;
import org.verbenamast.core.rows.RowReplica;

/**
 * Controls the requests that the relay received from callers on the users' platform, with this node as their entry
 * node. Selects a server for each request, decides whether a request may be sent to a second server, and settles its
 * outcome.
 */
public final class EntryController {

    /** The events, guards, actions, timers and tags that the chart file may name. */
    public static final Vocabulary<EntryEvent, EntryGuard, EntryAction, EntryTimer, EntryTag> VOCABULARY =
            new Vocabulary<>(EntryEvent.class, EntryGuard.class, EntryAction.class, EntryTimer.class, EntryTag.class);

    /** Attempt, counted from one, from which on a request may be queued even if it can't meet its objective. */
    private static final int LAST_CHANCE_ATTEMPT = 3;

    private final ChartInstances<Long, EntryEvent, EntryData, EntryInput> requests;
    private final TargetSelector selector;
    private final CrashReportController crashReports;
    private final MemberContacts contacts;
    private final RepeatBudgets budgets;
    private final EntryHedges hedges;

    /**
     * Creates a controller without requests.
     *
     * @param zone the availability zone of this node
     * @param roster the members
     * @param replica this node's copy of the stored rows
     * @param crashReports determines which requests crash servers
     * @param hedgesPerMille the requests that may be sent to a second server because the first one is late, for each
     *     thousand; 0 for none
     * @param random a source of numbers that are evenly distributed from 0 (inclusive) to 1 (exclusive)
     * @param listener notified of each transition of a request
     */
    public EntryController(
            Zone zone,
            Roster roster,
            RowReplica replica,
            CrashReportController crashReports,
            long hedgesPerMille,
            DoubleSupplier random,
            TransitionListener listener) {
        Objects.requireNonNull(listener, "listener");
        this.crashReports = Objects.requireNonNull(crashReports, "crashReports");
        this.budgets = new RepeatBudgets(hedgesPerMille);
        this.hedges = new EntryHedges(hedgesPerMille);
        MemberLoads loads = new MemberLoads();
        this.contacts = new MemberContacts(loads);
        this.selector = new TargetSelector(zone, roster, replica, loads, member -> !isReachable(member), random);
        this.requests = new ChartInstances<>(
                ChartReader.bundled("entry-request", VOCABULARY), event -> EntryInput.NONE, listener);
    }

    /**
     * Returns whether a member is assumed to be reachable: its health check has not suspended sends to it.
     *
     * @param member the member
     * @return false after repeated sends that did not reach the member
     */
    public boolean isReachable(Member member) {
        return contacts.isReachable(member);
    }

    /**
     * Resets the reachability of a member whose row names another incarnation of its server.
     *
     * @param member the member
     * @param now the monotonic time, in nanoseconds
     */
    public void onIncarnationChanged(Member member, long now) {
        contacts.onIncarnationChanged(member, now);
    }

    /**
     * Handles a new request: selects a server and opens the first attempt, or refuses it if it crashes servers.
     *
     * @param request the caller's request
     * @param content the fingerprint of the request, or of its head if no suspected request has the same one
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onCallerRequest(EntryRequest request, Fingerprint content, long now, Effects effects) {
        requests.begin(request.id(), EntryData.initial(request, hedges.delayNanos(request)), now);
        if (crashReports.isStopped(content, now)) {
            EntryInput refused = EntryInput.routed(Optional.empty(), true, Refusal.SUSPECT);
            requests.fire(request.id(), EntryEvent.ROUTED, refused, now, effects);
            return;
        }
        budgets.deposit(request.service());
        route(request.id(), now, effects);
    }

    private void route(long id, long now, Effects effects) {
        Instance<EntryData> instance = requests.find(id);
        while (instance != null && instance.hasTag(EntryTag.ROUTING)) {
            requests.fire(id, EntryEvent.ROUTED, selectTarget(instance.data(), now), now, effects);
            instance = requests.find(id);
        }
        if (instance != null) {
            instance.data().target().ifPresent(member -> contacts.onSent(member, now));
        }
    }

    private EntryInput selectTarget(EntryData data, long now) {
        EntryRequest request = data.request();
        if (request.key().isPresent()) {
            return selectOwner(data);
        }
        Optional<Member> best =
                selector.findFastest(request.service(), request.route().kind(), data.triedNodes(), now);
        if (best.isEmpty()) {
            return EntryInput.routed(
                    Optional.empty(), true, data.openedAttempts() == 0 ? Refusal.NO_SERVER : data.refusal());
        }
        return EntryInput.routed(best, data.openedAttempts() + 1 >= LAST_CHANCE_ATTEMPT, Refusal.NO_SERVER);
    }

    private EntryInput selectOwner(EntryData data) {
        EntryRequest request = data.request();
        Optional<Member> owner =
                selector.findOwner(request.service(), request.key().getAsInt());
        if (owner.isEmpty()) {
            return EntryInput.routed(Optional.empty(), true, Refusal.NOT_OWNER);
        }
        if (data.pauseRequired() && owner.equals(data.target())) {
            return EntryInput.routed(Optional.empty(), true, data.refusal());
        }
        if (!isReachable(owner.get())) {
            return EntryInput.routed(Optional.empty(), true, Refusal.NODE_UNREACHED);
        }
        return EntryInput.routed(owner, true, Refusal.NO_SERVER);
    }

    /**
     * Handles a refusal by the node beside a server.
     *
     * @param id the request's number
     * @param attempt the number of the attempt
     * @param reason why the request was refused
     * @param retryAfterMillis the expected time until the server has room, in milliseconds; 0 if unknown
     * @param load the current load of the server
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onRefused(
            long id,
            int attempt,
            Refusal reason,
            long retryAfterMillis,
            AdmissionLoad load,
            long now,
            Effects effects) {
        Instance<EntryData> instance = requests.find(id);
        if (instance == null) {
            return;
        }
        Member member = instance.data().attempts().find(attempt).target();
        contacts.onLoadReport(member, load, now);
        // The address of a lost host may have been reassigned to a host that refuses requests for the former server.
        contacts.onResult(member, reason != Refusal.WRONG_SERVER, now);
        boolean withinBudget = reason.countedSends() == 0
                || budgets.trySpend(instance.data().request().service());
        EntryInput input = EntryInput.refused(reason, retryAfterMillis, withinBudget);
        fire(id, EntryEvent.REFUSED, input.of(attempt), now, effects);
    }

    private void fire(long id, EntryEvent event, EntryInput input, long now, Effects effects) {
        requests.fire(id, event, input, now, effects);
        route(id, now, effects);
    }

    /**
     * Handles the failure to reach the node beside a server; nothing was sent.
     *
     * @param id the request's number
     * @param attempt the number of the attempt
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onUnreached(long id, int attempt, long now, Effects effects) {
        Instance<EntryData> instance = requests.find(id);
        if (instance != null) {
            contacts.onResult(instance.data().attempts().find(attempt).target(), false, now);
            EntryInput input =
                    EntryInput.refused(Refusal.NODE_UNREACHED, 0, true).of(attempt);
            fire(id, EntryEvent.UNREACHED, input, now, effects);
        }
    }

    /**
     * Handles an attempt that ended without a usable answer after the request was sent, so that it may have run.
     *
     * @param id the request's number
     * @param attempt the number of the attempt
     * @param linkLost whether the connection to the other node broke
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onBroken(long id, int attempt, boolean linkLost, long now, Effects effects) {
        Instance<EntryData> instance = requests.find(id);
        if (instance == null) {
            return;
        }
        if (linkLost) {
            contacts.onResult(instance.data().attempts().find(attempt).target(), false, now);
        }
        EntryInput input = EntryInput.answered(true, trySpendRepeat(instance.data()));
        fire(id, EntryEvent.BROKEN, input.of(attempt), now, effects);
    }

    /** Pays for sending a request again, if it is going to be, and returns whether the budget allowed it. */
    private boolean trySpendRepeat(EntryData data) {
        return data.isRepeatable()
                && data.attempts().hedge().isEmpty()
                && budgets.trySpend(data.request().service());
    }

    /**
     * Handles that this node no longer has the beginning of a request's body, so that it can't be sent again.
     *
     * @param id the request's number
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onBodyDropped(long id, long now, Effects effects) {
        requests.fire(id, EntryEvent.BODY_DROPPED, EntryInput.NONE, now, effects);
    }

    /**
     * Handles the answer of a server once it is complete, or once it has filled the buffer that precedes the delivery
     * to the caller.
     *
     * @param id the request's number
     * @param attempt the number of the attempt
     * @param failed whether the answer reports a failure of the server
     * @param load the current load of the server
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onAnswer(long id, int attempt, boolean failed, AdmissionLoad load, long now, Effects effects) {
        Instance<EntryData> instance = requests.find(id);
        if (instance == null) {
            return;
        }
        SentAttempt answered = instance.data().attempts().find(attempt);
        contacts.onLoadReport(answered.target(), load, now);
        contacts.onResult(answered.target(), true, now);
        if (!failed) {
            hedges.recordAnswer(instance.data(), answered, now);
        }
        boolean withinBudget = failed && trySpendRepeat(instance.data());
        EntryInput input = EntryInput.answered(failed, withinBudget);
        fire(id, EntryEvent.ANSWERED, input.of(attempt), now, effects);
    }

    /**
     * Handles the end of an answer: the caller has received all of it.
     *
     * @param id the request's number
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onDelivered(long id, long now, Effects effects) {
        requests.fire(id, EntryEvent.DELIVERED, EntryInput.NONE, now, effects);
    }

    /**
     * Handles the loss of a caller, which has closed its connection.
     *
     * @param id the request's number
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onCallerGone(long id, long now, Effects effects) {
        requests.fire(id, EntryEvent.CALLER_GONE, EntryInput.NONE, now, effects);
    }

    /**
     * Handles a change of the owners of keys: selects servers for the requests that have waited for one.
     *
     * @param service the service whose keys have new owners
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onOwnersChanged(String service, long now, Effects effects) {
        List<Long> askable = idsOf(instance -> instance.hasTag(EntryTag.AWAITING_KEY)
                && instance.data().request().service().equals(service)
                && hasAskableOwner(instance.data()));
        askable.forEach(id -> fire(id, EntryEvent.OWNER_KNOWN, EntryInput.NONE, now, effects));
    }

    /** Returns whether the key has an owner, and not one that has refused the request and is giving the key up. */
    private boolean hasAskableOwner(EntryData data) {
        String service = data.request().service();
        int key = data.request().key().orElseThrow();
        Optional<Member> owner = selector.findOwner(service, key);
        return owner.isPresent() && (!owner.equals(data.target()) || !selector.isMoving(service, key));
    }

    /**
     * Fires the timers that are due and selects servers for the requests whose pause has ended.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void advance(long now, Effects effects) {
        contacts.advance(now);
        requests.advance(now, effects);
        idsOf(instance -> instance.hasTag(EntryTag.ROUTING)).forEach(id -> route(id, now, effects));
        idsOf(instance -> instance.hasTag(EntryTag.ROUTING_HEDGE)).forEach(id -> routeHedge(id, now, effects));
    }

    private List<Long> idsOf(Predicate<Instance<EntryData>> condition) {
        List<Long> ids = new ArrayList<>();
        requests.forEach((id, instance) -> {
            if (condition.test(instance)) {
                ids.add(id);
            }
        });
        return ids;
    }

    private void routeHedge(long id, long now, Effects effects) {
        EntryData data = requests.find(id).data();
        Optional<Member> idle = selector.findIdle(
                data.request().service(), data.request().route().kind(), data.triedNodesAndTarget(), now);
        boolean isPaid =
                idle.isPresent() && budgets.trySpendHedge(data.request().service());
        EntryInput input = EntryInput.routed(isPaid ? idle : Optional.empty(), false, Refusal.NO_SERVER);
        requests.fire(id, EntryEvent.HEDGE_ROUTED, input, now, effects);
        if (isPaid) {
            contacts.onSent(idle.get(), now);
        }
    }

    /**
     * Ends all open requests like those whose deadline has passed; answers that are being delivered go on.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void expireAll(long now, Effects effects) {
        List<Long> ids = idsOf(instance -> !instance.hasTag(EntryTag.DELIVERING));
        ids.forEach(id -> requests.fire(id, EntryEvent.TIME_OVER, EntryInput.NONE, now, effects));
    }

    /**
     * Returns when the next timer is due.
     *
     * @return the monotonic time, in nanoseconds, at which {@link #advance} has work to do
     */
    public long nextDue() {
        return Math.min(requests.nextDue(), contacts.nextDue());
    }

    /**
     * Returns how many sends to a second server the budgets still pay for.
     *
     * @return the sends, summed over all services that callers have requested
     */
    public long repeatsLeft() {
        return budgets.available();
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
