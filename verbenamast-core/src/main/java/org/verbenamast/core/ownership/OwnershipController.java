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

/** The slices that this node owns: it claims vacant ones, opens them, and passes them on. */
public final class OwnershipController {

    /** The names that the chart file may use. */
    public static final Vocabulary<SliceEvent, SliceGuard, SliceAction, SliceTimer, SliceTag> VOCABULARY =
            new Vocabulary<>(SliceEvent.class, SliceGuard.class, SliceAction.class, SliceTimer.class, SliceTag.class);

    private static final long HEAT_EVERY_MILLIS = 2_000;

    private final CoreSettings settings;
    private final ServiceSettings service;
    private final Directory directory;
    private final StoreController store;
    private final Lease lease;
    private final RowListener sink;
    private final ChartInstances<SliceId, SliceEvent, SliceData, SliceInput> slices;
    private final TargetPlan plan;
    private final PlannedMoves moves;
    private final SliceWeights heats;
    private final Set<Integer> busyChunks = new HashSet<>();
    private long operations;
    private long nextReview = Long.MIN_VALUE;
    private long nextHeats = Long.MIN_VALUE;

    /**
     * Makes a desk that owns nothing.
     *
     * @param settings the node's settings
     * @param directory the rows that the node knows
     * @param store the calls to the table service
     * @param rules by what rules slices find their owners
     * @param lease tells whether the node may serve
     * @param sink takes the rows that this desk writes or learns
     * @param listener is told of each transition
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
        this.heats = new SliceWeights(directory::granted);
    }

    /**
     * Tells whether a request for a slice may be given to the backend server.
     *
     * @param slice the slice
     * @param now the monotonic time, in nanoseconds
     * @return whether this node owns the slice, admits requests and holds its lease
     */
    public boolean admits(SliceId slice, long now) {
        Instance<SliceData> owned = slices.find(slice);
        return owned != null && owned.is(SliceTag.ADMITS) && lease.holds(now);
    }

    /**
     * Returns the epoch under which this node owns a slice.
     *
     * @param slice the slice
     * @return the epoch, or 0 where it does not own the slice
     */
    public long epoch(SliceId slice) {
        Instance<SliceData> owned = slices.find(slice);
        return owned == null ? 0 : owned.data().grant().epoch();
    }

    /**
     * Notes that the backend server is given a request for a slice.
     *
     * @param slice the slice
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void started(SliceId slice, long now, Effects effects) {
        heats.count(slice, now);
        slices.fire(slice, SliceEvent.STARTED, SliceInput.NONE, now, effects);
    }

    /**
     * Notes that the backend server is done with a request for a slice.
     *
     * @param slice the slice
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void finished(SliceId slice, long now, Effects effects) {
        slices.fire(slice, SliceEvent.FINISHED, SliceInput.NONE, now, effects);
        Instance<SliceData> owned = slices.find(slice);
        if (owned != null && owned.is(SliceTag.PASSABLE)) {
            nextReview = now;
        }
    }

    /**
     * Returns how many slices this node owns.
     *
     * @return the number
     */
    public int owned() {
        return slices.size();
    }

    /**
     * Returns how many requests a second the slices of this node get.
     *
     * @param now the monotonic time, in nanoseconds
     * @return the rate
     */
    public double rate(long now) {
        return heats.total(now);
    }

    /**
     * Takes another member's report of the request rate of its slices.
     *
     * @param member the member
     * @param rate the rate in requests a second
     * @param now the monotonic time, in nanoseconds
     */
    public void heard(MemberId member, double rate, long now) {
        MemberRow row = directory.member(member);
        if (row != null && row.service().equals(service.name())) {
            heats.heard(member, rate, now);
        }
    }

    /**
     * Brings the slices in line with a row that the directory has learnt.
     *
     * @param row the row
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void learnt(Row row, long now, Effects effects) {
        if (!(row.value() instanceof ChunkRow chunk) || !chunk.service().equals(service.name())) {
            return;
        }
        for (int i = 0; i < chunk.grants().size(); i++) {
            SliceId slice = new SliceId(service.name(), chunk.chunk() * service.chunkSlices() + i);
            follow(slice, chunk.grants().get(i), now, effects);
        }
    }

    private void follow(SliceId slice, SliceGrant grant, long now, Effects effects) {
        Instance<SliceData> owned = slices.find(slice);
        if (owned != null && !owned.data().grant().equals(grant)) {
            slices.fire(slice, SliceEvent.PASSED_ON, SliceInput.NONE, now, effects);
            heats.end(slice);
            owned = null;
        }
        if (owned == null && grant.owner().equals(settings.self())) {
            slices.begin(slice, new SliceData(slice, grant, 0, SliceMove.NONE, settleNanos(grant)), now);
            heats.begin(slice, now);
            slices.fire(slice, SliceEvent.GRANTED, SliceInput.NONE, now, effects);
        }
    }

    private long settleNanos(SliceGrant grant) {
        boolean mayRun = grant.origin().requestsMayRun() && service.keyed() && !service.fenced();
        return mayRun ? Timing.millisToNanos(settings.timing().longestRequestMillis()) : 0;
    }

    /**
     * Claims, moves and passes on slices where a review is due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
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
     * Returns when this desk has something to do next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return Math.min(nextReview, slices.nextDue());
    }

    private void review(long now, Effects effects) {
        plan.refresh(now, moves::targets);
        boolean measure = now >= nextHeats;
        if (measure) {
            nextHeats = now + Timing.millisToNanos(HEAT_EVERY_MILLIS);
        }
        moves.redirect(now, effects);
        moves.start(now, effects);
        Set<Integer> chunks = new TreeSet<>(plan.claimable());
        slices.forEach((slice, owned) -> {
            if (measure || owned.is(SliceTag.PASSABLE)) {
                chunks.add(service.chunkOf(slice.number()));
            }
        });
        chunks.removeAll(busyChunks);
        double mean = measure ? heats.mean(now) : 0;
        chunks.forEach(chunk -> write(chunk, mean, now, effects));
    }

    private void write(int chunk, double mean, long now, Effects effects) {
        ChunkRow before = directory.chunk(service, chunk);
        String operation = operationPrefix() + ++operations;
        ChunkRow after = before;
        List<SliceId> passing = new ArrayList<>();
        for (int i = 0; i < before.grants().size(); i++) {
            SliceId slice = new SliceId(service.name(), chunk * service.chunkSlices() + i);
            SliceGrant grant = before.grants().get(i);
            SliceGrant next = next(slice, grant, now);
            int heat = mean > 0
                    ? heats.heat(slice, before.heats().get(i), mean, now)
                    : before.heats().get(i);
            after = next == grant ? after : after.with(i, next, operation);
            after = heat == before.heats().get(i) ? after : after.withHeat(i, heat, operation);
            if (next != grant && isOwn(slice)) {
                passing.add(slice);
            }
        }
        if (after != before) {
            fireAll(passing, SliceEvent.PASS, now, effects);
            commit(chunk, after, passing, now, effects);
        }
    }

    private boolean isOwn(SliceId slice) {
        return slices.find(slice) != null;
    }

    private SliceGrant next(SliceId slice, SliceGrant grant, long now) {
        Instance<SliceData> owned = slices.find(slice);
        if (owned != null) {
            boolean passable = owned.is(SliceTag.PASSABLE);
            return passable ? grant.passedTo(owned.data().move().target(), GrantOrigin.HANDED_OVER) : grant;
        }
        if (!plan.target(slice.number()).equals(settings.self())) {
            return grant;
        }
        if (grant.owner().isNone() && (grant.epoch() > 0 || plan.settled(now))) {
            return grant.passedTo(settings.self(), GrantOrigin.CLAIMED);
        }
        boolean lost = directory.ended(grant.owner());
        return lost ? grant.passedTo(settings.self(), GrantOrigin.TAKEN_OVER) : grant;
    }

    private void commit(int chunk, ChunkRow after, List<SliceId> passing, long now, Effects effects) {
        busyChunks.add(chunk);
        long version = directory.version(ChunkRow.keyOf(service.name(), chunk));
        RowWrite write = new RowWrite(ChunkRow.keyOf(service.name(), chunk), version, after);
        StoreContinuation done = (reply, at, out) -> {
            busyChunks.remove(chunk);
            written(reply, passing, at, out);
        };
        StoreRequest commit = new StoreRequest.Commit(List.of(write));
        if (passing.isEmpty()) {
            store.submit(commit, now, effects, done);
        } else {
            store.submitOnce(commit, now, effects, done);
        }
    }

    private void written(StoreReply reply, List<SliceId> passing, long now, Effects effects) {
        if (reply instanceof StoreReply.Committed committed) {
            committed.rows().forEach(row -> take(row, now, effects));
        } else if (reply instanceof StoreReply.Conflicted conflicted) {
            conflicted.rows().forEach(row -> take(row, now, effects));
            fireAll(passing, SliceEvent.CONFLICTED, now, effects);
            nextReview = passing.isEmpty() ? nextReview : now;
        } else if (reply instanceof StoreReply.Failed failed) {
            boolean unknown = failed.failure().effectUnknown();
            fireAll(passing, unknown ? SliceEvent.PASS_UNKNOWN : SliceEvent.NOT_PASSED, now, effects);
        }
    }

    /** Takes a row of a reply; one that this node wrote, though the reply to the write was lost, is told to others. */
    private void take(Row row, long now, Effects effects) {
        if (row.value().operation().startsWith(operationPrefix())) {
            tellOwners(row, effects);
            sink.onRowWritten(row, now, effects);
        } else {
            sink.onRowRead(row, now, effects);
        }
    }

    private String operationPrefix() {
        return settings.self() + "/own/";
    }

    /** Sends the row to the owners that it changes, so that these open at once. */
    private void tellOwners(Row row, Effects effects) {
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

    private void fireAll(List<SliceId> all, SliceEvent event, long now, Effects effects) {
        all.forEach(slice -> slices.fire(slice, event, SliceInput.NONE, now, effects));
    }
}
