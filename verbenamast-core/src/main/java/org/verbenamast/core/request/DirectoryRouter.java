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
import org.verbenamast.core.request.peer.HealthDesk;
import org.verbenamast.core.request.peer.HealthEvent;
import org.verbenamast.core.store.RowKey;

/** Routes by the rows that the node knows and by what it has seen of the members itself. */
public final class DirectoryRouter implements Router {

    private final CoreSettings settings;
    private final Directory directory;
    private final SuspectController suspects;
    private final RoutePolicy policy;
    private final Random random;
    private final MemberSignals signals = new MemberSignals();
    private final HealthDesk health;
    private final Map<ServiceName, ServiceBudgets> budgets = new HashMap<>();
    private MemberId chosen = MemberId.NONE;

    /**
     * Makes a router that has sent nothing.
     *
     * @param settings the node's settings
     * @param directory the rows that the node knows
     * @param suspects the requests that only one member may run
     * @param policy how members are chosen
     * @param listener is told of each transition
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
        this.health = new HealthDesk(listener);
        settings.services().forEach(service -> budgets.put(service.name(), new ServiceBudgets()));
    }

    @Override
    public boolean choose(RequestData data, long now) {
        health.advance(now);
        ServiceSettings service = serviceOf(data);
        Optional<SliceId> slice =
                data.request().slice(service).or(() -> Optional.ofNullable(suspects.sliceOf(data.request(), service)));
        chosen = slice.isPresent() ? ownerOf(slice.get()) : anyOf(service.name(), data, now);
        if (chosen.isNone()) {
            return false;
        }
        if (data.attempts() == 0) {
            budgetsOf(data).firstTry();
        }
        health.saw(chosen, HealthEvent.SENT, now);
        return true;
    }

    private ServiceSettings serviceOf(RequestData data) {
        return settings.serviceOf(data.request().service()).orElseThrow();
    }

    private ServiceBudgets budgetsOf(RequestData data) {
        return budgets.get(data.request().service());
    }

    private MemberId ownerOf(SliceId slice) {
        SliceGrant grant = directory.grant(slice);
        MemberRow owner = directory.member(grant.owner());
        boolean serves = owner != null
                && !owner.status().hasEnded()
                && !directory.marks().isClosed(owner);
        return serves ? owner.id() : MemberId.NONE;
    }

    private MemberId anyOf(ServiceName service, RequestData data, long now) {
        List<MemberId> candidates = candidates(service, data);
        return candidates.isEmpty() ? MemberId.NONE : policy.choice().choose(candidates, signals, random, now);
    }

    /** Lists the members that may take a try; where all are parked, parked ones too. */
    private List<MemberId> candidates(ServiceName service, RequestData data) {
        List<MemberId> free = new ArrayList<>();
        for (MemberRow member : directory.activeMembers(service)) {
            if (!data.at(member.id()) && takesWork(member)) {
                free.add(member.id());
            }
        }
        List<MemberId> good = free.stream().filter(id -> !health.parked(id)).toList();
        return good.isEmpty() ? free : good;
    }

    private boolean takesWork(MemberRow member) {
        return !directory.marks().isOut(member) && directory.table().weights().of(member) > 0;
    }

    @Override
    public boolean chooseHedge(RequestData data, long now) {
        if (suspects.sliceOf(data.request(), serviceOf(data)) != null) {
            return false;
        }
        MemberId other = anyOf(data.request().service(), data, now);
        if (other.isNone() || health.parked(other) || !budgetsOf(data).hedges().spend()) {
            return false;
        }
        chosen = other;
        return true;
    }

    @Override
    public void askOwner(RequestData data, Effects effects) {
        ServiceSettings service = serviceOf(data);
        List<MemberRow> members = directory.activeMembers(service.name());
        if (members.isEmpty()) {
            return;
        }
        MemberId asked = members.get(random.nextInt(members.size())).id();
        data.request().slice(service).ifPresent(slice -> {
            RowKey key = ChunkRow.keyOf(service.name(), service.chunkOf(slice.number()));
            effects.emit(new Effect.SendToPeer(asked, new PeerMessage.RowRequest(List.of(key))));
        });
    }

    @Override
    public MemberId chosen() {
        return chosen;
    }

    @Override
    public long hedgeNanos(RequestData data) {
        boolean keyed = serviceOf(data).keyed();
        return policy.hedge().delayNanos(data.request(), keyed, budgetsOf(data).usual());
    }

    @Override
    public boolean affordsRetry(RequestData data, NotRunReason reason) {
        return !reason.costsBudget() || budgetsOf(data).retries().spend();
    }

    @Override
    public void sent(RequestId id, MemberId to, long now) {
        signals.sent(id, to, now);
    }

    @Override
    public void left(RequestId id, MemberId at) {
        signals.left(id, at);
    }

    @Override
    public void gaveUp(Attempt open, long now) {
        signals.tookMoreThan(open.member(), now - open.sentAt(), now);
    }

    @Override
    public void observed(RequestData data, Attempt ended, RequestOutcome outcome, long now) {
        if (outcome instanceof RequestOutcome.Answered) {
            long took = now - ended.sentAt();
            signals.took(ended.member(), took, now);
            budgetsOf(data).usual().add(took);
            health.saw(ended.member(), HealthEvent.SUCCEEDED, now);
        } else if (failed(outcome)) {
            health.saw(ended.member(), HealthEvent.FAILED, now);
        }
    }

    private static boolean failed(RequestOutcome outcome) {
        return !(outcome instanceof RequestOutcome.NotRun notRun)
                || notRun.reason().blamesMember();
    }

    /**
     * Forgets a member whose incarnation has ended.
     *
     * @param member the member
     * @param now the monotonic time, in nanoseconds
     */
    public void forget(MemberId member, long now) {
        signals.forget(member);
        health.saw(member, HealthEvent.ENDED, now);
    }

    /**
     * Lists the requests that a member has from this node.
     *
     * @param member the member
     * @return the requests' identities
     */
    public List<RequestId> at(MemberId member) {
        return signals.at(member);
    }
}
