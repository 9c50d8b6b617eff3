package org.verbenamast.core.ownership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.verbenamast.core.assign.AssignmentPolicy;
import org.verbenamast.core.assign.Candidate;
import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.Population;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.model.SliceId;
import org.verbenamast.core.node.CoreSettings;
import org.verbenamast.core.node.RowSink;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.RowWrite;
import org.verbenamast.core.store.StoreDesk;
import org.verbenamast.core.store.StoreReply;
import org.verbenamast.core.store.StoreRequest;

/** The slices that this node owns: it claims vacant ones, opens them, and passes them on. */
public final class OwnershipDesk {

    /** The names that the chart file may use. */
    public static final Vocabulary<SliceEvent, SliceGuard, SliceAction, SliceTimer, SliceTag> VOCABULARY =
            new Vocabulary<>(SliceEvent.class, SliceGuard.class, SliceAction.class, SliceTimer.class, SliceTag.class);

    private static final int MAX_MOVES = 8;

    private final CoreSettings settings;
    private final ServiceSettings service;
    private final Directory directory;
    private final StoreDesk store;
    private final Lease lease;
    private final RowSink sink;
    private final Population<SliceId, SliceEvent, SliceData, SliceInput> slices;
    private final Set<Integer> busyChunks = new HashSet<>();
    private long operations;
    private long nextReview;

    /**
     * Makes a desk that owns nothing.
     *
     * @param settings the node's settings
     * @param directory the rows that the node knows
     * @param store the calls to the table service
     * @param lease tells whether the node may serve
     * @param sink takes the rows that this desk writes or learns
     * @param listener is told of each transition
     */
    public OwnershipDesk(
            CoreSettings settings,
            Directory directory,
            StoreDesk store,
            Lease lease,
            RowSink sink,
            TransitionListener listener) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.service = settings.serviceOf(settings.service()).orElseThrow();
        this.directory = Objects.requireNonNull(directory, "directory");
        this.store = Objects.requireNonNull(store, "store");
        this.lease = Objects.requireNonNull(lease, "lease");
        this.sink = Objects.requireNonNull(sink, "sink");
        Chart<SliceEvent, SliceData, SliceInput> chart = ChartReader.bundled("slice", VOCABULARY);
        this.slices = new Population<>(chart, event -> SliceInput.NONE, listener);
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
            owned = null;
        }
        if (owned == null && grant.owner().equals(settings.self())) {
            slices.begin(slice, new SliceData(slice, grant, 0, MemberId.NONE, settleNanos(grant)), now);
            slices.fire(slice, SliceEvent.GRANTED, SliceInput.NONE, now, effects);
        }
    }

    private long settleNanos(SliceGrant grant) {
        boolean mayRun = grant.origin().requestsMayRun() && !service.fenced();
        return mayRun ? Timing.nanos(settings.timing().longestRequestMillis()) : 0;
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
        nextReview = now + Timing.nanos(settings.timing().reviewEveryMillis());
        if (service.keyed() && lease.holds(now)) {
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
        List<MemberId> targets = targets();
        if (targets.isEmpty()) {
            return;
        }
        startMoves(targets, now, effects);
        for (int chunk = 0; chunk < service.chunks(); chunk++) {
            if (!busyChunks.contains(chunk)) {
                write(chunk, targets, now, effects);
            }
        }
    }

    private List<MemberId> targets() {
        List<Candidate> candidates = new ArrayList<>();
        directory
                .activeMembers(service.name())
                .forEach(member -> candidates.add(new Candidate(member.id(), weight(member))));
        if (candidates.stream().allMatch(candidate -> candidate.weight() == 0)) {
            return List.of();
        }
        List<MemberId> owners = new ArrayList<>();
        directory.grants(service).forEach(grant -> owners.add(grant.owner()));
        return AssignmentPolicy.BALANCED.targets(owners, candidates);
    }

    private int weight(MemberRow member) {
        return directory.marks().isOut(member) ? 0 : directory.table().weights().of(member);
    }

    private void startMoves(List<MemberId> targets, long now, Effects effects) {
        List<SliceId> leaving = new ArrayList<>();
        int[] moving = {0};
        slices.forEach((slice, owned) -> {
            if (owned.is(SliceTag.MOVING)) {
                moving[0]++;
            } else if (owned.is(SliceTag.ADMITS) && !targets.get(slice.number()).equals(settings.self())) {
                leaving.add(slice);
            }
        });
        leaving.stream().limit(Math.max(0, MAX_MOVES - moving[0])).forEach(slice -> {
            SliceInput input = new SliceInput(targets.get(slice.number()));
            slices.fire(slice, SliceEvent.MOVE, input, now, effects);
        });
    }

    private void write(int chunk, List<MemberId> targets, long now, Effects effects) {
        ChunkRow before = directory.chunk(service, chunk);
        String operation = settings.self() + "/own/" + ++operations;
        ChunkRow after = before;
        for (int i = 0; i < before.grants().size(); i++) {
            int number = chunk * service.chunkSlices() + i;
            SliceGrant next = next(number, before.grants().get(i), targets.get(number));
            if (next != before.grants().get(i)) {
                after = after.with(i, next, operation);
            }
        }
        if (after != before) {
            commit(chunk, after, now, effects);
        }
    }

    private SliceGrant next(int number, SliceGrant grant, MemberId target) {
        Instance<SliceData> owned = slices.find(new SliceId(service.name(), number));
        if (owned != null && owned.is(SliceTag.PASSABLE)) {
            return grant.passedTo(owned.data().target(), GrantOrigin.HANDED_OVER);
        }
        if (grant.owner().isNone() && target.equals(settings.self())) {
            return grant.passedTo(settings.self(), GrantOrigin.CLAIMED);
        }
        if (directory.ended(grant.owner()) && target.equals(settings.self())) {
            return grant.passedTo(settings.self(), GrantOrigin.TAKEN_OVER);
        }
        return grant;
    }

    private void commit(int chunk, ChunkRow after, long now, Effects effects) {
        busyChunks.add(chunk);
        long version = directory.version(ChunkRow.keyOf(service.name(), chunk));
        RowWrite write = new RowWrite(ChunkRow.keyOf(service.name(), chunk), version, after);
        store.submit(new StoreRequest.Commit(List.of(write)), now, effects, (reply, at, out) -> {
            busyChunks.remove(chunk);
            written(reply, at, out);
        });
    }

    private void written(StoreReply reply, long now, Effects effects) {
        if (reply instanceof StoreReply.Committed committed) {
            committed.rows().forEach(row -> sink.wrote(row, now, effects));
        } else if (reply instanceof StoreReply.Conflicted conflicted) {
            conflicted.rows().forEach(row -> sink.read(row, now, effects));
        }
    }
}
