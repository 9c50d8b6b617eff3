package org.verbenamast.core.ownership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.model.SliceId;
import org.verbenamast.core.node.CoreSettings;
import org.verbenamast.core.node.RowListener;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.RowWrite;
import org.verbenamast.core.store.StoreContinuation;
import org.verbenamast.core.store.StoreController;
import org.verbenamast.core.store.StoreReply;
import org.verbenamast.core.store.StoreRequest;

/**
 * Controls the slices that this node owns: claims slices without an owner, takes over those of ended members, admits
 * requests for owned slices, and hands slices over to other members as the plan asks.
 */
public final class OwnershipController {

    /** The names that the chart file may use. */
    public static final Vocabulary<SliceEvent, SliceGuard, SliceAction, SliceTimer, SliceTag> VOCABULARY =
            new Vocabulary<>(SliceEvent.class, SliceGuard.class, SliceAction.class, SliceTimer.class, SliceTag.class);

    private static final long LOAD_INTERVAL_MILLIS = 2_000;

    private final CoreSettings settings;
    private final ServiceSettings service;
    private final Directory directory;
    private final StoreController store;
    private final Lease lease;
    private final RowListener sink;
    private final ChartInstances<SliceId, SliceEvent, SliceData, SliceInput> slices;
    private final TargetPlan plan;
    private final PlannedMoves moves;
    private final SliceLoads loads;
    private final Set<Integer> chunksBeingWritten = new HashSet<>();
    private long operationCount;
    private long nextReview = Long.MIN_VALUE;
    private long nextLoadUpdate = Long.MIN_VALUE;

    /**
     * Creates a controller that owns no slices.
     *
     * @param settings the node's settings
     * @param directory the rows of the table service that the node knows
     * @param store submits calls to the table service
     * @param rules the rules that assign slices to members
     * @param lease the lease that the node needs in order to serve
     * @param sink receives the rows that this controller writes or reads
     * @param listener is notified of each transition
     */
    public OwnershipController(
            CoreSettings settings,
            Directory directory,
            StoreController store,
            OwnershipRules rules,
            Lease lease,
            RowListener sink,
            TransitionListener listener) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.service = settings.serviceOf(settings.service()).orElseThrow();
        this.directory = Objects.requireNonNull(directory, "directory");
        this.store = Objects.requireNonNull(store, "store");
        this.lease = Objects.requireNonNull(lease, "lease");
        this.sink = Objects.requireNonNull(sink, "sink");
        Chart<SliceEvent, SliceData, SliceInput> chart = ChartReader.bundled("slice", VOCABULARY);
        this.slices = new ChartInstances<>(chart, event -> SliceInput.NONE, listener);
        this.plan = new TargetPlan(directory, service, rules, settings.self());
        this.moves = new PlannedMoves(settings, directory, slices, plan);
        this.loads = new SliceLoads(directory::grantCount);
    }

    /**
     * Returns whether a request for a slice may be sent to the backend server.
     *
     * @param slice the slice
     * @param now the monotonic time, in nanoseconds
     * @return {@code true} if this node owns the slice, admits requests for it and holds its lease
     */
    public boolean admits(SliceId slice, long now) {
        Instance<SliceData> owned = slices.find(slice);
        return owned != null && owned.hasTag(SliceTag.ADMITS) && lease.holds(now);
    }

    /**
     * Returns the epoch (the fencing token) under which this node owns a slice.
     *
     * @param slice the slice
     * @return the epoch, or 0 if this node does not own the slice
     */
    public long epoch(SliceId slice) {
        Instance<SliceData> owned = slices.find(slice);
        return owned == null ? 0 : owned.data().grant().epoch();
    }

    /**
     * Records that a request for a slice was sent to the backend server.
     *
     * @param slice the slice
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onRequestStarted(SliceId slice, long now, Effects effects) {
        loads.recordRequest(slice, now);
        slices.fire(slice, SliceEvent.STARTED, SliceInput.NONE, now, effects);
    }

    /**
     * Records that the backend server has finished a request for a slice.
     *
     * @param slice the slice
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onRequestFinished(SliceId slice, long now, Effects effects) {
        slices.fire(slice, SliceEvent.FINISHED, SliceInput.NONE, now, effects);
        Instance<SliceData> owned = slices.find(slice);
        if (owned != null && owned.hasTag(SliceTag.READY_FOR_HAND_OVER)) {
            nextReview = now;
        }
    }

    /**
     * Returns the number of slices that this node owns.
     *
     * @return the number, including slices whose hand-over is under way
     */
    public int ownedSliceCount() {
        return slices.size();
    }

    /**
     * Returns the request rate of all slices of this node together.
     *
     * @param now the monotonic time, in nanoseconds
     * @return the rate, in requests a second
     */
    public double requestRate(long now) {
        return loads.totalRate(now);
    }

    /**
     * Records another member's report of the request rate of its slices. Ignores members of other services.
     *
     * @param member the member
     * @param rate the rate of all its slices together, in requests a second
     * @param now the monotonic time, in nanoseconds
     */
    public void onRateReport(MemberId member, double rate, long now) {
        MemberRow row = directory.member(member);
        if (row != null && row.service().equals(service.name())) {
            loads.onRateReport(member, rate, now);
        }
    }

    /**
     * Applies the grants of a chunk's row that the directory has accepted. Ignores other rows.
     *
     * @param row the row
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onRow(Row row, long now, Effects effects) {
        if (!(row.value() instanceof ChunkRow chunk) || !chunk.service().equals(service.name())) {
            return;
        }
        for (int i = 0; i < chunk.grants().size(); i++) {
            SliceId slice = new SliceId(service.name(), chunk.chunk() * service.chunkSlices() + i);
            applyGrant(slice, chunk.grants().get(i), now, effects);
        }
    }

    private void applyGrant(SliceId slice, SliceGrant grant, long now, Effects effects) {
        Instance<SliceData> owned = slices.find(slice);
        if (owned != null && !owned.data().grant().equals(grant)) {
            slices.fire(slice, SliceEvent.PASSED_ON, SliceInput.NONE, now, effects);
            loads.stopMeasuring(slice);
            owned = null;
        }
        if (owned == null && grant.owner().equals(settings.self())) {
            slices.begin(slice, new SliceData(slice, grant, 0, SliceMove.NONE, settleNanos(grant)), now);
            loads.startMeasuring(slice, now);
            slices.fire(slice, SliceEvent.GRANTED, SliceInput.NONE, now, effects);
        }
    }

    private long settleNanos(SliceGrant grant) {
        boolean mustSettle = grant.origin().earlierRequestsMayRun() && service.keyed() && !service.fenced();
        return mustSettle ? Timing.millisToNanos(settings.timing().longestRequestMillis()) : 0;
    }

    /**
     * Fires the timers that are due. If a review is due, claims, takes over, moves and hands over slices.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void advance(long now, Effects effects) {
        slices.advance(now, effects);
        if (now < nextReview) {
            return;
        }
        nextReview = now + Timing.millisToNanos(settings.timing().reviewEveryMillis());
        if (lease.holds(now)) {
            review(now, effects);
        }
    }

    /**
     * Returns when {@link #advance} has to be called next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return Math.min(nextReview, slices.nextDue());
    }

    private void review(long now, Effects effects) {
        plan.refresh(now, moves::targets);
        boolean updateLoads = now >= nextLoadUpdate;
        if (updateLoads) {
            nextLoadUpdate = now + Timing.millisToNanos(LOAD_INTERVAL_MILLIS);
        }
        moves.redirect(now, effects);
        moves.start(now, effects);
        Set<Integer> chunks = new TreeSet<>(plan.claimableChunks());
        slices.forEach((slice, owned) -> {
            if (updateLoads || owned.hasTag(SliceTag.READY_FOR_HAND_OVER)) {
                chunks.add(service.chunkOf(slice.number()));
            }
        });
        chunks.removeAll(chunksBeingWritten);
        double meanRate = updateLoads ? loads.meanSliceRate(now) : 0;
        chunks.forEach(chunk -> updateChunk(chunk, meanRate, now, effects));
    }

    private void updateChunk(int chunk, double meanRate, long now, Effects effects) {
        ChunkRow before = directory.chunk(service, chunk);
        String operation = operationPrefix() + ++operationCount;
        ChunkRow after = before;
        List<SliceId> handOvers = new ArrayList<>();
        for (int i = 0; i < before.grants().size(); i++) {
            SliceId slice = new SliceId(service.name(), chunk * service.chunkSlices() + i);
            SliceGrant grant = before.grants().get(i);
            SliceGrant next = nextGrant(slice, grant, now);
            int load = meanRate > 0
                    ? loads.updatedLoad(slice, before.heats().get(i), meanRate, now)
                    : before.heats().get(i);
            after = next == grant ? after : after.with(i, next, operation);
            after = load == before.heats().get(i) ? after : after.withLoad(i, load, operation);
            if (next != grant && owns(slice)) {
                handOvers.add(slice);
            }
        }
        if (after != before) {
            fireAll(handOvers, SliceEvent.PASS, now, effects);
            commit(chunk, after, handOvers, now, effects);
        }
    }

    private boolean owns(SliceId slice) {
        return slices.find(slice) != null;
    }

    private SliceGrant nextGrant(SliceId slice, SliceGrant grant, long now) {
        Instance<SliceData> owned = slices.find(slice);
        if (owned != null) {
            boolean ready = owned.hasTag(SliceTag.READY_FOR_HAND_OVER);
            return ready ? grant.grantedTo(owned.data().move().target(), GrantOrigin.HANDED_OVER) : grant;
        }
        if (!plan.target(slice.number()).equals(settings.self())) {
            return grant;
        }
        if (grant.owner().isNone() && (grant.epoch() > 0 || plan.membersStable(now))) {
            return grant.grantedTo(settings.self(), GrantOrigin.CLAIMED);
        }
        boolean ended = directory.hasEnded(grant.owner());
        return ended ? grant.grantedTo(settings.self(), GrantOrigin.TAKEN_OVER) : grant;
    }

    private void commit(int chunk, ChunkRow after, List<SliceId> handOvers, long now, Effects effects) {
        chunksBeingWritten.add(chunk);
        long version = directory.version(ChunkRow.keyOf(service.name(), chunk));
        RowWrite write = new RowWrite(ChunkRow.keyOf(service.name(), chunk), version, after);
        StoreContinuation continuation = (reply, repliedAt, replyEffects) -> {
            chunksBeingWritten.remove(chunk);
            onCommitReply(reply, handOvers, repliedAt, replyEffects);
        };
        StoreRequest commit = new StoreRequest.Commit(List.of(write));
        if (handOvers.isEmpty()) {
            store.submit(commit, now, effects, continuation);
        } else {
            store.submitOnce(commit, now, effects, continuation);
        }
    }

    private void onCommitReply(StoreReply reply, List<SliceId> handOvers, long now, Effects effects) {
        if (reply instanceof StoreReply.Committed committed) {
            committed.rows().forEach(row -> handleReplyRow(row, now, effects));
        } else if (reply instanceof StoreReply.Conflicted conflicted) {
            conflicted.rows().forEach(row -> handleReplyRow(row, now, effects));
            fireAll(handOvers, SliceEvent.CONFLICTED, now, effects);
            nextReview = handOvers.isEmpty() ? nextReview : now;
        } else if (reply instanceof StoreReply.Failed failed) {
            boolean unknown = failed.failure().effectUnknown();
            fireAll(handOvers, unknown ? SliceEvent.PASS_UNKNOWN : SliceEvent.NOT_PASSED, now, effects);
        }
    }

    /**
     * Handles a row of a reply. A row that this node wrote counts as written even if the reply to the write was lost:
     * the owners that it changes and the other nodes are notified.
     */
    private void handleReplyRow(Row row, long now, Effects effects) {
        if (row.value().operation().startsWith(operationPrefix())) {
            notifyOwners(row, effects);
            sink.onRowWritten(row, now, effects);
        } else {
            sink.onRowRead(row, now, effects);
        }
    }

    private String operationPrefix() {
        return settings.self() + "/own/";
    }

    /** Sends the row to each owner that it changes, so that these open their slices without waiting for gossip. */
    private void notifyOwners(Row row, Effects effects) {
        ChunkRow chunk = (ChunkRow) row.value();
        ChunkRow before = directory.chunk(service, chunk.chunk());
        Set<MemberId> changed = new LinkedHashSet<>();
        for (int i = 0; i < chunk.grants().size(); i++) {
            if (!chunk.grants().get(i).equals(before.grants().get(i))) {
                changed.add(chunk.grants().get(i).owner());
            }
        }
        changed.remove(settings.self());
        changed.remove(MemberId.NONE);
        changed.forEach(owner -> effects.emit(new Effect.SendToPeer(owner, new PeerMessage.RowPush(List.of(row)))));
    }

    private void fireAll(List<SliceId> affected, SliceEvent event, long now, Effects effects) {
        affected.forEach(slice -> slices.fire(slice, event, SliceInput.NONE, now, effects));
    }
}
