package org.verbenamast.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;

import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.gate.crash.SuspectController;
import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.model.SliceId;
import org.verbenamast.core.node.CoreSettings;
import org.verbenamast.core.ownership.ChunkRow;
import org.verbenamast.core.ownership.SliceGrant;
import org.verbenamast.core.request.peer.HealthController;
import org.verbenamast.core.request.peer.HealthEvent;
import org.verbenamast.core.store.RowKey;

/** Routes requests by the rows in the node's directory and by the latencies and failures that this node observes. */
public final class DirectoryRouter implements Router {

    private final CoreSettings settings;
    private final Directory directory;
    private final SuspectController suspects;
    private final RoutePolicy policy;
    private final Random random;
    private final MemberStats stats = new MemberStats();
    private final HealthController health;
    private final Map<ServiceName, ServiceBudgets> budgets = new HashMap<>();
    private MemberId chosen = MemberId.NONE;

    /**
     * Creates a router without requests in flight.
     *
     * @param settings the node's settings
     * @param directory the rows that the node knows
     * @param suspects the suspected requests, each of which only one member may execute
     * @param policy selects members and decides when to hedge
     * @param listener is notified of each transition of the health chart
     */
    public DirectoryRouter(
            CoreSettings settings,
            Directory directory,
            SuspectController suspects,
            RoutePolicy policy,
            TransitionListener listener) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.suspects = Objects.requireNonNull(suspects, "suspects");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.random = new Random(settings.seed());
        this.health = new HealthController(listener);
        settings.services().forEach(service -> budgets.put(service.name(), new ServiceBudgets()));
    }

    @Override
    public boolean choose(RequestData data, long now) {
        health.advance(now);
        ServiceSettings service = serviceOf(data);
        Optional<SliceId> slice = data.request()
                .requiredSlice(service)
                .or(() -> Optional.ofNullable(suspects.exclusiveSliceOf(data.request(), service)));
        chosen = slice.isPresent() ? servingOwnerOf(slice.get()) : selectMember(service.name(), data, now);
        if (chosen.isNone()) {
            return false;
        }
        if (data.attemptCount() == 0) {
            budgetsOf(data).onFirstAttempt();
        }
        health.onEvent(chosen, HealthEvent.SENT, now);
        return true;
    }

    private ServiceSettings serviceOf(RequestData data) {
        return settings.serviceOf(data.request().service()).orElseThrow();
    }

    private ServiceBudgets budgetsOf(RequestData data) {
        return budgets.get(data.request().service());
    }

    private MemberId servingOwnerOf(SliceId slice) {
        SliceGrant grant = directory.grant(slice);
        MemberRow owner = directory.member(grant.owner());
        boolean serving = owner != null
                && !owner.status().hasEnded()
                && !directory.marks().isClosed(owner);
        return serving ? owner.id() : MemberId.NONE;
    }

    private MemberId selectMember(ServiceName service, RequestData data, long now) {
        List<MemberId> candidates = candidates(service, data);
        return candidates.isEmpty() ? MemberId.NONE : policy.selector().select(candidates, stats, random, now);
    }

    /** Lists the members that are eligible for an attempt. Includes parked members only if all of them are parked. */
    private List<MemberId> candidates(ServiceName service, RequestData data) {
        List<MemberId> eligible = new ArrayList<>();
        for (MemberRow member : directory.activeMembers(service)) {
            if (!data.hasAttemptAt(member.id()) && acceptsRequests(member)) {
                eligible.add(member.id());
            }
        }
        List<MemberId> notParked =
                eligible.stream().filter(id -> !health.isParked(id)).toList();
        return notParked.isEmpty() ? eligible : notParked;
    }

    private boolean acceptsRequests(MemberRow member) {
        return !directory.marks().isOut(member) && directory.table().weights().of(member) > 0;
    }

    @Override
    public boolean chooseHedge(RequestData data, long now) {
        if (suspects.exclusiveSliceOf(data.request(), serviceOf(data)) != null) {
            return false;
        }
        MemberId second = selectMember(data.request().service(), data, now);
        if (second.isNone()
                || health.isParked(second)
                || !budgetsOf(data).hedges().trySpend()) {
            return false;
        }
        chosen = second;
        return true;
    }

    @Override
    public void requestChunkRow(RequestData data, Effects effects) {
        ServiceSettings service = serviceOf(data);
        List<MemberRow> members = directory.activeMembers(service.name());
        if (members.isEmpty()) {
            return;
        }
        MemberId peer = members.get(random.nextInt(members.size())).id();
        data.request().requiredSlice(service).ifPresent(slice -> {
            RowKey key = ChunkRow.keyOf(service.name(), service.chunkOf(slice.number()));
            effects.emit(new Effect.SendToPeer(peer, new PeerMessage.RowRequest(List.of(key))));
        });
    }

    @Override
    public MemberId chosen() {
        return chosen;
    }

    @Override
    public long hedgeDelayNanos(RequestData data) {
        boolean keyed = serviceOf(data).keyed();
        return policy.hedge()
                .delayNanos(
                        data.request().method().idempotent(),
                        keyed,
                        budgetsOf(data).latencyQuantile());
    }

    @Override
    public boolean trySpendRetry(RequestData data, NotRunReason reason) {
        return !reason.spendsRetryBudget() || budgetsOf(data).retries().trySpend();
    }

    @Override
    public void addInFlight(RequestId id, MemberId member, long now) {
        stats.addInFlight(id, member, now);
    }

    @Override
    public void removeInFlight(RequestId id, MemberId member) {
        stats.removeInFlight(id, member);
    }

    @Override
    public void recordAbandoned(Attempt attempt, long now) {
        stats.recordMinimumLatency(attempt.member(), now - attempt.sentAt(), now);
    }

    @Override
    public void recordOutcome(RequestData data, Attempt attempt, RequestOutcome outcome, long now) {
        if (outcome instanceof RequestOutcome.Answered) {
            long latency = now - attempt.sentAt();
            stats.recordLatency(attempt.member(), latency, now);
            budgetsOf(data).latencyQuantile().add(latency);
            health.onEvent(attempt.member(), HealthEvent.SUCCEEDED, now);
        } else if (isMemberFailure(outcome)) {
            health.onEvent(attempt.member(), HealthEvent.FAILED, now);
        }
    }

    private static boolean isMemberFailure(RequestOutcome outcome) {
        return !(outcome instanceof RequestOutcome.NotRun notRun)
                || notRun.reason().countsAsMemberFailure();
    }

    /**
     * Discards what is recorded about a member whose incarnation has ended.
     *
     * @param member the member
     * @param now the monotonic time, in nanoseconds
     */
    public void forget(MemberId member, long now) {
        stats.forget(member);
        health.onEvent(member, HealthEvent.ENDED, now);
    }

    /**
     * Lists the requests of this node that are in flight at a member.
     *
     * @param member the member
     * @return the ids of the requests
     */
    public List<RequestId> requestsAt(MemberId member) {
        return stats.requestsAt(member);
    }
}
