package org.verbenamast.core.gate;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.NoTag;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.gate.crash.SuspectController;
import org.verbenamast.core.gate.crash.SuspectStatus;
import org.verbenamast.core.gate.limit.RampSettings;
import org.verbenamast.core.gate.limit.ServerController;
import org.verbenamast.core.gate.limit.ServerTag;
import org.verbenamast.core.gate.runs.RunKey;
import org.verbenamast.core.gate.runs.RunLimits;
import org.verbenamast.core.gate.runs.RunRecordController;
import org.verbenamast.core.gate.runs.RunStatus;
import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.membership.MemberController;
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
import org.verbenamast.core.ownership.OwnershipController;
import org.verbenamast.core.request.CallerRequest;
import org.verbenamast.core.request.RequestOutcome;
import org.verbenamast.core.store.Row;

/** The requests that the backend server beside this node is to run, and the only way to it. */
public final class ExecutionController implements BackendAccess {

    /** The names that the chart file may use. */
    public static final Vocabulary<ExecutionEvent, ExecutionGuard, ExecutionAction, ExecutionTimer, NoTag> VOCABULARY =
            new Vocabulary<>(
                    ExecutionEvent.class,
                    ExecutionGuard.class,
                    ExecutionAction.class,
                    ExecutionTimer.class,
                    NoTag.class);

    private static final int NO_SLICE = -1;

    private final CoreSettings settings;
    private final ServiceSettings service;
    private final MemberController member;
    private final Directory directory;
    private final OwnershipController ownership;
    private final SuspectController suspects;
    private final RunRecordController runs;
    private final ServerController server;
    private final ChartInstances<RequestId, ExecutionEvent, ExecutionData, ExecutionInput> requests;
    private final Set<RequestId> queue = new LinkedHashSet<>();
    private final DuplicateRequests followers = new DuplicateRequests();
    private final ExecutionInput plain = ExecutionInput.plain(this);

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
    public ExecutionController(
            CoreSettings settings,
            MemberController member,
            Directory directory,
            OwnershipController ownership,
            SuspectController suspects,
            TransitionListener listener) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.service = settings.serviceOf(settings.service()).orElseThrow();
        this.member = Objects.requireNonNull(member, "member");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.ownership = Objects.requireNonNull(ownership, "ownership");
        this.suspects = Objects.requireNonNull(suspects, "suspects");
        this.runs = new RunRecordController(settings.self(), service, RunLimits.DEFAULT, listener);
        this.server = new ServerController(settings.self(), RampSettings.DEFAULT, listener);
        Chart<ExecutionEvent, ExecutionData, ExecutionInput> chart = ChartReader.bundled("serve", VOCABULARY);
        this.requests = new ChartInstances<>(chart, event -> plain, listener);
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
        ExecutionInput input = ExecutionInput.offered(this, forward.attempt());
        if (requests.find(forward.id()) != null) {
            requests.fire(forward.id(), ExecutionEvent.OFFERED_AGAIN, input, now, effects);
            return;
        }
        server.review(now, effects);
        requests.begin(forward.id(), dataOf(from, forward, now), now);
        requests.fire(forward.id(), ExecutionEvent.OFFERED, input, now, effects);
    }

    private ExecutionData dataOf(MemberId from, PeerMessage.Forward forward, long now) {
        CallerRequest request = forward.request();
        SliceId slice = request.slice(service).orElseGet(() -> suspects.sliceOf(request, service));
        RunKey run = request.method().idempotent() ? null : RunKey.of(forward.id(), request, slice);
        long deadline = now + forward.remainingNanos();
        return new ExecutionData(forward.id(), forward.attempt(), from, request, slice, run, deadline);
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
        Instance<ExecutionData> request = requests.find(id);
        ExecutionInput input = ExecutionInput.replied(this, reply);
        server.review(now, effects);
        boolean ended = requests.fire(id, ExecutionEvent.SERVER_REPLIED, input, now, effects);
        if (ended && request.data().run() != null) {
            followers
                    .of(request.data().run())
                    .forEach(other -> requests.fire(other, ExecutionEvent.RUN_ENDED, input, now, effects));
        }
        admitNext(now, effects);
    }

    private void admitNext(long now, Effects effects) {
        while (!queue.isEmpty() && (hasSlot() || !isOpen())) {
            requests.fire(queue.iterator().next(), ExecutionEvent.SLOT_FREED, plain, now, effects);
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
        Instance<ExecutionData> request = requests.find(id);
        if (request != null && request.data().attempt() <= attempt) {
            requests.fire(id, ExecutionEvent.CANCELLED, plain, now, effects);
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
    public ServerController server() {
        return server;
    }

    /**
     * Returns the records of the non-idempotent requests that ran here.
     *
     * @return the desk that keeps them
     */
    public RunRecordController runs() {
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
    public boolean mayServe(ExecutionData data, long now) {
        if (!suspects.ready() || !member.is(MemberTag.JOINED) || markedOut()) {
            return false;
        }
        if (!data.request().service().equals(service.name())) {
            return false;
        }
        return data.slice() == null ? !member.is(MemberTag.STOPPING) : ownership.admits(data.slice(), now);
    }

    @Override
    public void showOwner(ExecutionData data, Effects effects) {
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
    public RunStatus standing(ExecutionData data) {
        return data.run() == null ? RunStatus.FRESH : runs.standing(data.run(), data.id());
    }

    @Override
    public RequestOutcome recorded(ExecutionData data) {
        return runs.outcome(data.run());
    }

    @Override
    public SuspectStatus suspicion(ExecutionData data) {
        return suspects.standing(data.request(), service, data.slice());
    }

    @Override
    public void refusedSuspect(ExecutionData data, long now, Effects effects) {
        suspects.refused(data.request(), now, effects);
    }

    @Override
    public void follow(ExecutionData data) {
        followers.add(data.run(), data.id());
    }

    @Override
    public void unfollow(ExecutionData data) {
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
        return member.lastAnnouncement() != null && server.hasSlot();
    }

    @Override
    public boolean hasQueueRoom() {
        return queue.size() < settings.queueLimit();
    }

    @Override
    public void call(ExecutionData data, long now, Effects effects) {
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
        effects.emit(new Effect.CallServer(
                data.id(), member.lastAnnouncement().address(), data.request(), slice, epoch, remaining));
    }

    @Override
    public void release(ExecutionData data, ServerReply reply, long now, Effects effects) {
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
    public void enqueue(ExecutionData data) {
        queue.add(data.id());
    }

    @Override
    public void dequeue(ExecutionData data) {
        queue.remove(data.id());
    }

    @Override
    public void cancelAtServer(ExecutionData data, Effects effects) {
        effects.emit(
                new Effect.CancelAtServer(data.id(), member.lastAnnouncement().address()));
    }
}
