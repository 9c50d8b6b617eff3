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
import org.verbenamast.core.gate.limit.ServerLimitController;
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

/**
 * Executes requests at the backend server beside this node: admits, queues, deduplicates and refuses them. All requests
 * to that server go through this controller.
 */
public final class ExecutionController implements BackendAccess {

    /** The vocabulary of chart {@code serve}. */
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
    private final ServerLimitController server;
    private final ChartInstances<RequestId, ExecutionEvent, ExecutionData, ExecutionInput> requests;
    private final Set<RequestId> queue = new LinkedHashSet<>();
    private final DuplicateRequests followers = new DuplicateRequests();
    private final ExecutionInput emptyInput = ExecutionInput.empty(this);

    /**
     * Creates a controller without requests.
     *
     * @param settings the node's settings
     * @param member the node's own membership
     * @param directory the rows that the node knows
     * @param ownership the slices that the node owns
     * @param suspects the requests that are suspected of crashing backend servers
     * @param listener notified of each transition
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
        this.server = new ServerLimitController(settings.self(), RampSettings.DEFAULT, listener);
        Chart<ExecutionEvent, ExecutionData, ExecutionInput> chart = ChartReader.bundled("serve", VOCABULARY);
        this.requests = new ChartInstances<>(chart, event -> emptyInput, listener);
    }

    /**
     * Handles a request forwarded by another member or by this one. A request that is already open here counts as a
     * further attempt.
     *
     * @param from the sender
     * @param forward the request
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onForward(MemberId from, PeerMessage.Forward forward, long now, Effects effects) {
        ExecutionInput input = ExecutionInput.ofAttempt(this, forward.attempt());
        if (requests.find(forward.id()) != null) {
            requests.fire(forward.id(), ExecutionEvent.OFFERED_AGAIN, input, now, effects);
            return;
        }
        server.detectSlowdown(now, effects);
        requests.begin(forward.id(), dataOf(from, forward, now), now);
        requests.fire(forward.id(), ExecutionEvent.OFFERED, input, now, effects);
    }

    private ExecutionData dataOf(MemberId from, PeerMessage.Forward forward, long now) {
        CallerRequest request = forward.request();
        SliceId slice = request.requiredSlice(service).orElseGet(() -> suspects.exclusiveSliceOf(request, service));
        RunKey run = request.method().idempotent() ? null : RunKey.of(forward.id(), request, slice);
        long deadline = now + forward.remainingNanos();
        return new ExecutionData(forward.id(), forward.attempt(), from, request, slice, run, deadline);
    }

    /**
     * Handles the end of a call to the backend server, and then admits queued requests.
     *
     * @param id the request's identity
     * @param reply how the call ended
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onServerReply(RequestId id, ServerReply reply, long now, Effects effects) {
        Instance<ExecutionData> request = requests.find(id);
        ExecutionInput input = ExecutionInput.ofReply(this, reply);
        server.detectSlowdown(now, effects);
        boolean ended = requests.fire(id, ExecutionEvent.SERVER_REPLIED, input, now, effects);
        if (ended && request.data().runKey() != null) {
            followers
                    .waitingFor(request.data().runKey())
                    .forEach(other -> requests.fire(other, ExecutionEvent.RUN_ENDED, input, now, effects));
        }
        admitNext(now, effects);
    }

    private void admitNext(long now, Effects effects) {
        while (!queue.isEmpty() && (hasSlot() || !isOpen())) {
            requests.fire(queue.iterator().next(), ExecutionEvent.SLOT_FREED, emptyInput, now, effects);
        }
    }

    /**
     * Handles an announcement of the backend server.
     *
     * @param announcement the announcement
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onAnnouncement(ServerAnnouncement announcement, long now, Effects effects) {
        suspects.onAnnouncement(announcement.start(), now, effects);
        server.onAnnouncement(announcement, now, effects);
        admitNext(now, effects);
    }

    /**
     * Handles the cancellation of an attempt. A request with a later attempt continues.
     *
     * @param id the request's identity
     * @param attempt the number of the cancelled attempt
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onCancel(RequestId id, int attempt, long now, Effects effects) {
        Instance<ExecutionData> request = requests.find(id);
        if (request != null && request.data().attempt() <= attempt) {
            requests.fire(id, ExecutionEvent.CANCELLED, emptyInput, now, effects);
        }
    }

    /**
     * Fires the timers that are due, and treats a silent backend server as crashed.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void advance(long now, Effects effects) {
        requests.advance(now, effects);
        runs.advance(now, effects);
        server.advance(now, effects);
        if (server.is(ServerTag.SILENT)) {
            suspects.onServerUnreachable(now, effects);
        }
        admitNext(now, effects);
    }

    /**
     * Returns when the next timer is due.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return Math.min(requests.nextDue(), Math.min(runs.nextDue(), server.nextDue()));
    }

    /**
     * Returns the state and concurrency limit of the backend server beside this node.
     *
     * @return the controller of the server's limit
     */
    public ServerLimitController server() {
        return server;
    }

    /**
     * Returns the records of the non-idempotent requests that ran here.
     *
     * @return the controller of the records
     */
    public RunRecordController runs() {
        return runs;
    }

    /**
     * Returns how many requests the backend server is running.
     *
     * @return the number, including cancelled requests that the server is not done with
     */
    public int running() {
        return server.running();
    }

    /**
     * Returns how many requests are open.
     *
     * @return the number, including those that wait in the queue
     */
    public int openRequests() {
        return requests.size();
    }

    @Override
    public boolean mayExecute(ExecutionData data, long now) {
        if (!suspects.isReady() || !member.is(MemberTag.JOINED) || isClosedByMark()) {
            return false;
        }
        if (!data.request().service().equals(service.name())) {
            return false;
        }
        return data.slice() == null ? !member.is(MemberTag.STOPPING) : ownership.admits(data.slice(), now);
    }

    @Override
    public void sendOwnerRow(ExecutionData data, Effects effects) {
        if (data.slice() == null) {
            return;
        }
        Row row = directory.row(
                ChunkRow.keyOf(service.name(), service.chunkOf(data.slice().number())));
        if (row != null) {
            effects.emit(new Effect.SendToPeer(data.from(), new PeerMessage.RowPush(List.of(row))));
        }
    }

    private boolean isClosedByMark() {
        MemberRow own = directory.member(settings.self());
        return own != null && directory.marks().isClosed(own);
    }

    @Override
    public RunStatus runStatus(ExecutionData data) {
        return data.runKey() == null ? RunStatus.FRESH : runs.status(data.runKey(), data.id());
    }

    @Override
    public RequestOutcome recordedOutcome(ExecutionData data) {
        return runs.outcome(data.runKey());
    }

    @Override
    public SuspectStatus suspectStatus(ExecutionData data) {
        return suspects.status(data.request(), service, data.slice());
    }

    @Override
    public void onSuspectRefused(ExecutionData data, long now, Effects effects) {
        suspects.onRefused(data.request(), now, effects);
    }

    @Override
    public void follow(ExecutionData data) {
        followers.add(data.runKey(), data.id());
    }

    @Override
    public void unfollow(ExecutionData data) {
        followers.remove(data.runKey(), data.id());
    }

    @Override
    public boolean isOpen() {
        return server.isOpen();
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
    public void callServer(ExecutionData data, long now, Effects effects) {
        server.onCallStarted(data.id(), now);
        suspects.onCallStarted(data.request());
        if (data.runKey() != null) {
            runs.onRunStarted(data.runKey(), data.id(), now);
        }
        if (data.slice() != null) {
            ownership.onRequestStarted(data.slice(), now, effects);
        }
        boolean keyed = data.slice() != null && service.keyed();
        int slice = keyed ? data.slice().number() : NO_SLICE;
        long epoch = keyed ? ownership.epoch(data.slice()) : 0;
        long remaining = data.deadline() - now;
        effects.emit(new Effect.CallServer(
                data.id(), member.lastAnnouncement().address(), data.request(), slice, epoch, remaining));
    }

    @Override
    public void releaseSlot(ExecutionData data, ServerReply reply, long now, Effects effects) {
        String startId = server.startIdOf(data.id());
        server.onCallEnded(data.id(), reply.kind(), now, effects);
        reply.kind().reportTo(suspects, data.request(), startId, now, effects);
        if (data.runKey() != null) {
            runs.onRunEnded(data.runKey(), reply.kind().outcome(reply), now, effects);
        }
        if (data.slice() != null) {
            ownership.onRequestFinished(data.slice(), now, effects);
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
