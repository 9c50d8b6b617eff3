package org.verbenamast.core.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.DoubleSupplier;

import org.verbenamast.core.admission.AdmissionLoad;
import org.verbenamast.core.admission.Refusal;
import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.request.TokenBudget;
import org.verbenamast.core.request.peer.HealthDesk;
import org.verbenamast.core.request.peer.HealthEvent;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.Roster;
import org.verbenamast.core.rows.RowReplica;

/** The requests that this node took from callers. */
public final class EntryController {

    /** The names that the chart file may use. */
    public static final Vocabulary<EntryEvent, EntryGuard, EntryAction, EntryTimer, EntryTag> VOCABULARY =
            new Vocabulary<>(EntryEvent.class, EntryGuard.class, EntryAction.class, EntryTimer.class, EntryTag.class);

    /** Sends to a second server that each request earns, in thousandths; half of what the platform allows. */
    private static final long REPEATS_PER_MILLE = 100;
    /** Sends to a second server that are free at first; the fleet's nodes together stay below the platform's slack. */
    private static final long REPEAT_RESERVE = 2;

    /** The ask, counted from one, at which a request waits even where its objective can't be met. */
    private static final int LAST_CHANCE_ATTEMPT = 3;

    private final ChartInstances<Long, EntryEvent, EntryData, EntryInput> requests;
    private final TargetSelector selector;
    private final MemberLoads loads = new MemberLoads();
    private final HealthDesk health;
    private final Map<String, TokenBudget> budgets = new HashMap<>();

    /**
     * Makes a desk without requests.
     *
     * @param zone the availability zone of this node
     * @param roster the members
     * @param replica the rows that this node knows
     * @param random draws numbers evenly from 0 (included) to 1 (excluded)
     * @param listener is told of each transition
     */
    public EntryController(
            Zone zone, Roster roster, RowReplica replica, DoubleSupplier random, TransitionListener listener) {
        Objects.requireNonNull(listener, "listener");
        this.health = new HealthDesk(TransitionListener.NONE);
        this.selector = new TargetSelector(zone, roster, replica, loads, member -> !isReachable(member), random);
        this.requests = new ChartInstances<>(
                ChartReader.bundled("entry-request", VOCABULARY), event -> EntryInput.NONE, listener);
    }

    /**
     * Tells whether the last sends to a member reached it.
     *
     * @param member the member
     * @return whether it is not known to be unreachable
     */
    public boolean isReachable(Member member) {
        return !health.parked(healthIdOf(member));
    }

    /**
     * Forgets that a member was not reached: its row tells of another run of its server.
     *
     * @param member the member
     * @param now the monotonic time, in nanoseconds
     */
    public void onIncarnationChanged(Member member, long now) {
        health.saw(healthIdOf(member), HealthEvent.ENDED, now);
    }

    private static MemberId healthIdOf(Member member) {
        return new MemberId(member.node(), 1);
    }

    /**
     * Takes a request.
     *
     * @param request the request
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void onCallerRequest(EntryRequest request, long now, Effects effects) {
        budget(request.service()).earn();
        requests.begin(request.id(), EntryData.initial(request), now);
        route(request.id(), now, effects);
    }

    private TokenBudget budget(String service) {
        return budgets.computeIfAbsent(service, name -> new TokenBudget(REPEATS_PER_MILLE, REPEAT_RESERVE));
    }

    private void route(long id, long now, Effects effects) {
        Instance<EntryData> instance = requests.find(id);
        while (instance != null && instance.is(EntryTag.ROUTING)) {
            requests.fire(id, EntryEvent.ROUTED, selectTarget(instance.data(), now), now, effects);
            instance = requests.find(id);
        }
        if (instance != null) {
            recordSend(instance, now);
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
        if (data.pauseRequired()) {
            return EntryInput.routed(Optional.empty(), true, data.refusal());
        }
        if (!isReachable(owner.get())) {
            return EntryInput.routed(Optional.empty(), true, Refusal.NODE_UNREACHED);
        }
        return EntryInput.routed(owner, true, Refusal.NO_SERVER);
    }

    private void recordSend(Instance<EntryData> instance, long now) {
        instance.data().target().ifPresent(member -> {
            loads.onSent(member.node(), now);
            health.saw(healthIdOf(member), HealthEvent.SENT, now);
        });
    }

    /**
     * Takes a refusal by the node beside a server.
     *
     * @param id the request's number
     * @param reason why
     * @param retryAfterMillis when room is expected, in milliseconds
     * @param load how busy the server is
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void onRefused(
            long id, Refusal reason, long retryAfterMillis, AdmissionLoad load, long now, Effects effects) {
        Instance<EntryData> instance = requests.find(id);
        if (instance == null) {
            return;
        }
        Member member = instance.data().target().orElseThrow();
        loads.onLoadReport(member.node(), load, now);
        // The address of a host that is gone may belong to another one, which answers for a server that it never had.
        boolean there = reason != Refusal.WRONG_SERVER;
        health.saw(healthIdOf(member), there ? HealthEvent.SUCCEEDED : HealthEvent.FAILED, now);
        boolean budget = reason.countedSends() == 0
                || budget(instance.data().request().service()).spend();
        fire(id, EntryEvent.REFUSED, EntryInput.refused(reason, retryAfterMillis, budget), now, effects);
    }

    private void fire(long id, EntryEvent event, EntryInput input, long now, Effects effects) {
        requests.fire(id, event, input, now, effects);
        route(id, now, effects);
    }

    /**
     * Notes that the node beside a server was not reached.
     *
     * @param id the request's number
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void onUnreached(long id, long now, Effects effects) {
        Instance<EntryData> instance = requests.find(id);
        if (instance != null) {
            health.saw(healthIdOf(instance.data().target().orElseThrow()), HealthEvent.FAILED, now);
            EntryInput input = EntryInput.refused(Refusal.NODE_UNREACHED, 0, true);
            fire(id, EntryEvent.UNREACHED, input, now, effects);
        }
    }

    /**
     * Notes that a try ended without a usable answer though the request may have run.
     *
     * @param id the request's number
     * @param linkLost whether the connection to the other node broke
     * @param replayable whether the request's body is still here as a whole
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void onBroken(long id, boolean linkLost, boolean replayable, long now, Effects effects) {
        Instance<EntryData> instance = requests.find(id);
        if (instance == null) {
            return;
        }
        if (linkLost) {
            health.saw(healthIdOf(instance.data().target().orElseThrow()), HealthEvent.FAILED, now);
        }
        fire(
                id,
                EntryEvent.BROKEN,
                EntryInput.answered(true, replayable && trySpendRepeat(instance.data())),
                now,
                effects);
    }

    private boolean trySpendRepeat(EntryData data) {
        return data.isRepeatable() && budget(data.request().service()).spend();
    }

    /**
     * Takes the answer of a server, whole or as far as it is kept before it is passed on.
     *
     * @param id the request's number
     * @param failed whether it tells of a failure of the server
     * @param replayable whether the request's body is still here as a whole
     * @param load how busy the server is
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void onAnswer(long id, boolean failed, boolean replayable, AdmissionLoad load, long now, Effects effects) {
        Instance<EntryData> instance = requests.find(id);
        if (instance == null) {
            return;
        }
        Member member = instance.data().target().orElseThrow();
        loads.onLoadReport(member.node(), load, now);
        health.saw(healthIdOf(member), HealthEvent.SUCCEEDED, now);
        boolean budget = failed && replayable && trySpendRepeat(instance.data());
        fire(id, EntryEvent.ANSWERED, EntryInput.answered(failed, budget), now, effects);
    }

    /**
     * Notes that the caller has the whole answer.
     *
     * @param id the request's number
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void onDelivered(long id, long now, Effects effects) {
        requests.fire(id, EntryEvent.DELIVERED, EntryInput.NONE, now, effects);
    }

    /**
     * Notes that the caller has closed its connection.
     *
     * @param id the request's number
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void onCallerGone(long id, long now, Effects effects) {
        requests.fire(id, EntryEvent.CALLER_GONE, EntryInput.NONE, now, effects);
    }

    /**
     * Fires the timers that are due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void advance(long now, Effects effects) {
        health.advance(now);
        requests.advance(now, effects);
        List<Long> routing = new ArrayList<>();
        requests.forEach((id, instance) -> {
            if (instance.is(EntryTag.ROUTING)) {
                routing.add(id);
            }
        });
        routing.forEach(id -> route(id, now, effects));
    }

    /**
     * Returns when this desk has something to do next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return Math.min(requests.nextDue(), health.nextDue());
    }

    /**
     * Tells how many requests may still be sent to a second server.
     *
     * @return the requests, over all services that callers have asked for
     */
    public long repeatsLeft() {
        return budgets.values().stream().mapToLong(TokenBudget::left).sum();
    }

    /**
     * Tells whether no request is here.
     *
     * @return whether all callers have their end
     */
    public boolean isIdle() {
        return requests.size() == 0;
    }
}
