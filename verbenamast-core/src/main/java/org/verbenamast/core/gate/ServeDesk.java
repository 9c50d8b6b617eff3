package org.verbenamast.core.gate;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.NoTag;
import org.verbenamast.core.chart.Population;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.gate.crash.SuspectDesk;
import org.verbenamast.core.gate.crash.SuspectStanding;
import org.verbenamast.core.gate.limit.RampSettings;
import org.verbenamast.core.gate.limit.ServerDesk;
import org.verbenamast.core.gate.limit.ServerTag;
import org.verbenamast.core.gate.runs.RunDesk;
import org.verbenamast.core.gate.runs.RunKey;
import org.verbenamast.core.gate.runs.RunLimits;
import org.verbenamast.core.gate.runs.RunStanding;
import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.membership.MemberDesk;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.membership.MemberTag;
import org.verbenamast.core.membership.ServerAnnouncement;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.model.SliceId;
import org.verbenamast.core.node.CoreSettings;
import org.verbenamast.core.ownership.ChunkRow;
import org.verbenamast.core.ownership.OwnershipDesk;
import org.verbenamast.core.request.CallerRequest;
import org.verbenamast.core.request.RequestOutcome;
import org.verbenamast.core.store.Row;

/** The requests that the backend server beside this node is to run, and the only way to it. */
public final class ServeDesk implements Gate {

    /** The names that the chart file may use. */
    public static final Vocabulary<ServeEvent, ServeGuard, ServeAction, ServeTimer, NoTag> VOCABULARY =
            new Vocabulary<>(ServeEvent.class, ServeGuard.class, ServeAction.class, ServeTimer.class, NoTag.class);

    private static final int NO_SLICE = -1;

    private final CoreSettings settings;
    private final ServiceSettings service;
    private final MemberDesk member;
    private final Directory directory;
    private final OwnershipDesk ownership;
    private final SuspectDesk suspects;
    private final RunDesk runs;
    private final ServerDesk server;
    private final Population<RequestId, ServeEvent, ServeData, ServeInput> requests;
    private final Set<RequestId> queue = new LinkedHashSet<>();
    private final Followers followers = new Followers();
    private final ServeInput plain = ServeInput.plain(this);

    /**
     * Makes a desk without requests.
     *
     * @param settings the node's settings
     * @param member the node's own membership
     * @param directory the rows that the node knows
     * @param ownership the slices that the node owns
     * @param suspects the requests that are suspected to crash backend servers
     * @param listener is told of each transition
     */
    public ServeDesk(
            CoreSettings settings,
            MemberDesk member,
            Directory directory,
            OwnershipDesk ownership,
            SuspectDesk suspects,
            TransitionListener listener) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.service = settings.serviceOf(settings.service()).orElseThrow();
        this.member = Objects.requireNonNull(member, "member");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.ownership = Objects.requireNonNull(ownership, "ownership");
        this.suspects = Objects.requireNonNull(suspects, "suspects");
        this.runs = new RunDesk(settings.self(), service, RunLimits.DEFAULT, listener);
        this.server = new ServerDesk(settings.self(), RampSettings.DEFAULT, listener);
        Chart<ServeEvent, ServeData, ServeInput> chart = ChartReader.bundled("serve", VOCABULARY);
        this.requests = new Population<>(chart, event -> plain, listener);
    }

    /**
     * Takes a request from another member or from this one.
     *
     * @param from the sender
     * @param forward the request
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void offered(MemberId from, PeerMessage.Forward forward, long now, Effects effects) {
        ServeInput input = ServeInput.offered(this, forward.attempt());
        if (requests.find(forward.id()) != null) {
            requests.fire(forward.id(), ServeEvent.OFFERED_AGAIN, input, now, effects);
            return;
        }
        server.review(now, effects);
        requests.begin(forward.id(), dataOf(from, forward, now), now);
        requests.fire(forward.id(), ServeEvent.OFFERED, input, now, effects);
    }

    private ServeData dataOf(MemberId from, PeerMessage.Forward forward, long now) {
        CallerRequest request = forward.request();
        SliceId slice = request.slice(service).orElseGet(() -> suspects.sliceOf(request, service));
        RunKey run = request.method().idempotent() ? null : RunKey.of(forward.id(), request, slice);
        long deadline = now + forward.remainingNanos();
        return new ServeData(forward.id(), forward.attempt(), from, request, slice, run, deadline);
    }

    /**
     * Takes the end of a call to the backend server.
     *
     * @param id the request's identity
     * @param reply how the call ended
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void replied(RequestId id, ServerReply reply, long now, Effects effects) {
        Instance<ServeData> request = requests.find(id);
        ServeInput input = ServeInput.replied(this, reply);
        server.review(now, effects);
        boolean ended = requests.fire(id, ServeEvent.SERVER_REPLIED, input, now, effects);
        if (ended && request.data().run() != null) {
            followers
                    .of(request.data().run())
                    .forEach(other -> requests.fire(other, ServeEvent.RUN_ENDED, input, now, effects));
        }
        admitNext(now, effects);
    }

    private void admitNext(long now, Effects effects) {
        while (!queue.isEmpty() && (hasSlot() || !isOpen())) {
            requests.fire(queue.iterator().next(), ServeEvent.SLOT_FREED, plain, now, effects);
        }
    }

    /**
     * Takes an announcement of the backend server.
     *
     * @param announcement the announcement
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void announced(ServerAnnouncement announcement, long now, Effects effects) {
        suspects.announced(announcement.start(), now, effects);
        server.announced(announcement, now, effects);
        admitNext(now, effects);
    }

    /**
     * Gives up a request for which nobody waits any more.
     *
     * @param id the request's identity
     * @param attempt the number of the try that is given up
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void cancelled(RequestId id, int attempt, long now, Effects effects) {
        Instance<ServeData> request = requests.find(id);
        if (request != null && request.data().attempt() <= attempt) {
            requests.fire(id, ServeEvent.CANCELLED, plain, now, effects);
        }
    }

    /**
     * Fires the timers that are due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void advance(long now, Effects effects) {
        requests.advance(now, effects);
        runs.advance(now, effects);
        server.advance(now, effects);
        if (server.is(ServerTag.SILENT)) {
            suspects.unreachable(now, effects);
        }
        admitNext(now, effects);
    }

    /**
     * Returns when this desk has something to do next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return Math.min(requests.nextDue(), Math.min(runs.nextDue(), server.nextDue()));
    }

    /**
     * Returns the backend server beside this node.
     *
     * @return the desk that keeps what is known of it
     */
    public ServerDesk server() {
        return server;
    }

    /**
     * Returns the records of the non-idempotent requests that ran here.
     *
     * @return the desk that keeps them
     */
    public RunDesk runs() {
        return runs;
    }

    /**
     * Returns how many requests the backend server has.
     *
     * @return the number
     */
    public int running() {
        return server.running();
    }

    /**
     * Returns how many requests are under way.
     *
     * @return the number, those that wait included
     */
    public int open() {
        return requests.size();
    }

    @Override
    public boolean mayServe(ServeData data, long now) {
        if (!suspects.ready() || !member.is(MemberTag.JOINED) || markedOut()) {
            return false;
        }
        if (!data.request().service().equals(service.name())) {
            return false;
        }
        return data.slice() == null ? !member.is(MemberTag.STOPPING) : ownership.admits(data.slice(), now);
    }

    @Override
    public void showOwner(ServeData data, Effects effects) {
        if (data.slice() == null) {
            return;
        }
        Row row = directory.row(
                ChunkRow.keyOf(service.name(), service.chunkOf(data.slice().number())));
        if (row != null) {
            effects.emit(new Effect.SendToPeer(data.from(), new PeerMessage.RowPush(List.of(row))));
        }
    }

    private boolean markedOut() {
        MemberRow own = directory.member(settings.self());
        return own != null && directory.marks().isClosed(own);
    }

    @Override
    public RunStanding standing(ServeData data) {
        return data.run() == null ? RunStanding.FRESH : runs.standing(data.run(), data.id());
    }

    @Override
    public RequestOutcome recorded(ServeData data) {
        return runs.outcome(data.run());
    }

    @Override
    public SuspectStanding suspicion(ServeData data) {
        return suspects.standing(data.request(), service, data.slice());
    }

    @Override
    public void refusedSuspect(ServeData data, long now, Effects effects) {
        suspects.refused(data.request(), now, effects);
    }

    @Override
    public void follow(ServeData data) {
        followers.add(data.run(), data.id());
    }

    @Override
    public void unfollow(ServeData data) {
        followers.remove(data.run(), data.id());
    }

    @Override
    public boolean isOpen() {
        return server.open();
    }

    @Override
    public long expectedWaitNanos() {
        return server.expectedWaitNanos(queue.size());
    }

    @Override
    public boolean hasSlot() {
        return member.server() != null && server.hasSlot();
    }

    @Override
    public boolean hasQueueRoom() {
        return queue.size() < settings.queueLimit();
    }

    @Override
    public void call(ServeData data, long now, Effects effects) {
        server.started(data.id(), now);
        suspects.started(data.request());
        if (data.run() != null) {
            runs.begun(data.run(), data.id(), now);
        }
        if (data.slice() != null) {
            ownership.started(data.slice(), now, effects);
        }
        boolean keyed = data.slice() != null && service.keyed();
        int slice = keyed ? data.slice().number() : NO_SLICE;
        long epoch = keyed ? ownership.epoch(data.slice()) : 0;
        long remaining = data.deadline() - now;
        effects.emit(
                new Effect.CallServer(data.id(), member.server().address(), data.request(), slice, epoch, remaining));
    }

    @Override
    public void release(ServeData data, ServerReply reply, long now, Effects effects) {
        String start = server.startOf(data.id());
        server.ended(data.id(), reply.kind(), now, effects);
        reply.kind().testify(suspects, data.request(), start, now, effects);
        if (data.run() != null) {
            runs.ended(data.run(), reply.kind().outcome(reply), now, effects);
        }
        if (data.slice() != null) {
            ownership.finished(data.slice(), now, effects);
        }
    }

    @Override
    public void enqueue(ServeData data) {
        queue.add(data.id());
    }

    @Override
    public void dequeue(ServeData data) {
        queue.remove(data.id());
    }

    @Override
    public void cancelAtServer(ServeData data, Effects effects) {
        effects.emit(new Effect.CancelAtServer(data.id(), member.server().address()));
    }
}
