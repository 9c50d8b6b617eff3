package org.verbenamast.core.gate.runs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.model.SliceId;
import org.verbenamast.core.ownership.ChunkRow;
import org.verbenamast.core.ownership.SliceGrant;
import org.verbenamast.core.request.RequestOutcome;
import org.verbenamast.core.request.UnknownReason;
import org.verbenamast.core.store.Row;

/**
 * Records which non-idempotent requests were sent to the backend server beside this node and how they ended, so that a
 * resend gets the recorded outcome. Hands the records of a slice to its next owner.
 */
public final class RunRecordController {

    /** The vocabulary of chart {@code run}. */
    public static final Vocabulary<RunRecordEvent, RunRecordGuard, RunRecordAction, RunRecordTimer, RunRecordTag>
            RUN_VOCABULARY = new Vocabulary<>(
                    RunRecordEvent.class,
                    RunRecordGuard.class,
                    RunRecordAction.class,
                    RunRecordTimer.class,
                    RunRecordTag.class);

    /** The vocabulary of chart {@code history}. */
    public static final Vocabulary<HistoryEvent, HistoryGuard, HistoryAction, HistoryTimer, HistoryTag>
            HISTORY_VOCABULARY = new Vocabulary<>(
                    HistoryEvent.class, HistoryGuard.class, HistoryAction.class, HistoryTimer.class, HistoryTag.class);

    private static final int RUNS_PER_MESSAGE = 64;

    private final MemberId self;
    private final ServiceSettings service;
    private final RunLimits limits;
    private final ChartInstances<RunKey, RunRecordEvent, RunRecordData, RunRecordInput> runs;
    private final ChartInstances<SliceId, HistoryEvent, HistoryData, HistoryInput> histories;
    private final Map<SliceId, Set<RunKey>> bySlice = new HashMap<>();
    /** Highest sequence number of a discarded record without an idempotency key, by entry node. */
    private final Map<MemberId, Long> lastDiscarded = new HashMap<>();

    private final ReceivedRecords received = new ReceivedRecords();
    private final RunRecordInput emptyRunInput = new RunRecordInput(this, null);
    private final HistoryInput emptyHistoryInput = new HistoryInput(this, null);
    private long retainedBytes;

    /**
     * Creates a controller without records.
     *
     * @param self this node
     * @param service the service of the backend server beside it
     * @param limits the limits of the records
     * @param listener notified of each transition
     */
    public RunRecordController(MemberId self, ServiceSettings service, RunLimits limits, TransitionListener listener) {
        this.self = Objects.requireNonNull(self, "self");
        this.service = Objects.requireNonNull(service, "service");
        this.limits = Objects.requireNonNull(limits, "limits");
        Chart<RunRecordEvent, RunRecordData, RunRecordInput> run = ChartReader.bundled("run", RUN_VOCABULARY);
        this.runs = new ChartInstances<>(run, event -> emptyRunInput, listener);
        Chart<HistoryEvent, HistoryData, HistoryInput> history = ChartReader.bundled("history", HISTORY_VOCABULARY);
        this.histories = new ChartInstances<>(history, event -> emptyHistoryInput, listener);
    }

    /**
     * Returns what this node knows of the runs of a request.
     *
     * @param key the run key of the request
     * @param id the identity of this send
     * @return the run status
     */
    public RunStatus status(RunKey key, RequestId id) {
        Instance<RunRecordData> run = runs.find(key);
        if (run != null) {
            return run.hasTag(RunRecordTag.ENDED) ? RunStatus.ENDED : RunStatus.UNDER_WAY;
        }
        RunStatus unrecorded = key.resendable() ? statusWithoutRecord(key.slice()) : statusWithoutRecord(id);
        boolean full = unrecorded == RunStatus.FRESH && runs.size() >= limits.maxRuns();
        return full ? RunStatus.FULL : unrecorded;
    }

    private RunStatus statusWithoutRecord(SliceId slice) {
        Instance<HistoryData> history = histories.find(slice);
        if (history != null && history.hasTag(HistoryTag.AWAITED)) {
            return RunStatus.AWAITED;
        }
        boolean whole = history != null && history.hasTag(HistoryTag.WHOLE);
        return whole ? RunStatus.FRESH : RunStatus.UNCERTAIN;
    }

    private RunStatus statusWithoutRecord(RequestId id) {
        boolean later = id.sequence() > lastDiscarded.getOrDefault(id.entry(), 0L);
        return later ? RunStatus.FRESH : RunStatus.UNCERTAIN;
    }

    /**
     * Returns the recorded outcome of a run.
     *
     * @param key the run key of the request
     * @return the outcome, or null if none is on record
     */
    public RequestOutcome outcome(RunKey key) {
        Instance<RunRecordData> run = runs.find(key);
        return run == null ? null : run.data().outcome();
    }

    /**
     * Records that a request is sent to the backend server.
     *
     * @param key the run key of the request
     * @param id the identity of this send
     * @param now the monotonic time, in nanoseconds
     */
    public void onRunStarted(RunKey key, RequestId id, long now) {
        runs.begin(key, new RunRecordData(key, id, null, limits), now);
        if (key.resendable()) {
            bySlice.computeIfAbsent(key.slice(), slice -> new HashSet<>()).add(key);
        }
    }

    /**
     * Records the outcome of a run.
     *
     * @param key the run key of the request
     * @param outcome the outcome
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onRunEnded(RunKey key, RequestOutcome outcome, long now, Effects effects) {
        runs.fire(key, RunRecordEvent.ENDED, new RunRecordInput(this, outcome), now, effects);
    }

    /**
     * Returns the outcome that a resend gets: unknown in place of an answer that is too large or that no resend can ask
     * for.
     */
    RequestOutcome retain(RunKey key, RequestOutcome outcome) {
        if (!(outcome instanceof RequestOutcome.Answered answered)) {
            return outcome;
        }
        int length = answered.body().length();
        boolean fits = length <= limits.maxAnswerBytes() && retainedBytes + length <= limits.maxTotalBytes();
        if (!key.resendable() || !fits) {
            return new RequestOutcome.Unknown(UnknownReason.ANSWER_NOT_KEPT);
        }
        retainedBytes += length;
        return outcome;
    }

    void dropAnswer(RunRecordData run) {
        if (run.outcome() instanceof RequestOutcome.Answered answered) {
            retainedBytes -= answered.body().length();
        }
    }

    void discard(RunRecordData run) {
        dropAnswer(run);
        if (run.key().resendable()) {
            removeFromSlice(run.key());
        } else if (run.outcome() != null) {
            lastDiscarded.merge(run.id().entry(), run.id().sequence(), Math::max);
        }
    }

    private void removeFromSlice(RunKey key) {
        bySlice.computeIfPresent(key.slice(), (slice, keys) -> {
            keys.remove(key);
            return keys.isEmpty() ? null : keys;
        });
    }

    /**
     * Handles a new version of a row in the directory: applies changed slice grants, and drops what is kept of members
     * that have ended.
     *
     * @param row the row
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onRow(Row row, long now, Effects effects) {
        if (row.value() instanceof MemberRow member && member.status().hasEnded()) {
            lastDiscarded.remove(member.id());
        }
        if (!(row.value() instanceof ChunkRow chunk) || !chunk.service().equals(service.name())) {
            return;
        }
        for (int i = 0; i < chunk.grants().size(); i++) {
            SliceId slice = new SliceId(service.name(), chunk.chunk() * service.chunkSlices() + i);
            applyGrant(slice, chunk.grants().get(i), now, effects);
        }
    }

    private void applyGrant(SliceId slice, SliceGrant grant, long now, Effects effects) {
        Instance<HistoryData> known = histories.find(slice);
        if (known != null && known.data().grant().epoch() != grant.epoch()) {
            histories.fire(slice, HistoryEvent.PASSED_ON, new HistoryInput(this, grant), now, effects);
            known = null;
        }
        if (known == null && grant.owner().equals(self)) {
            histories.begin(slice, new HistoryData(slice, grant, limits), now);
            histories.fire(slice, HistoryEvent.GRANTED, emptyHistoryInput, now, effects);
        }
    }

    /**
     * Handles a part of the run records of a slice's earlier owner. Records that this node already has stay unchanged.
     *
     * @param part the part
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onRecords(PeerMessage.RunRecords part, long now, Effects effects) {
        part.runs().forEach(kept -> addReceived(new RunKey(part.slice(), kept.idempotencyKey()), kept, now, effects));
        received.add(part);
        histories.fire(part.slice(), HistoryEvent.RECORDS_CAME, emptyHistoryInput, now, effects);
    }

    private void addReceived(RunKey key, KeptRun kept, long now, Effects effects) {
        if (runs.find(key) == null) {
            onRunStarted(key, kept.id(), now);
            onRunEnded(key, kept.outcome(), now, effects);
        }
    }

    boolean hasAllRecords(HistoryData history) {
        return received.isComplete(history.slice(), history.grant().epoch());
    }

    void sendRecords(SliceId slice, SliceGrant next, Effects effects) {
        List<KeptRun> kept = recordsOf(slice);
        int parts = Math.max(1, (kept.size() + RUNS_PER_MESSAGE - 1) / RUNS_PER_MESSAGE);
        for (int part = 0; part < parts; part++) {
            int from = part * RUNS_PER_MESSAGE;
            int to = Math.min(kept.size(), from + RUNS_PER_MESSAGE);
            PeerMessage message = new PeerMessage.RunRecords(slice, next.epoch(), part, parts, kept.subList(from, to));
            effects.emit(new Effect.SendToPeer(next.owner(), message));
        }
    }

    private List<KeptRun> recordsOf(SliceId slice) {
        List<KeptRun> kept = new ArrayList<>();
        for (RunKey key : bySlice.getOrDefault(slice, Set.of())) {
            RunRecordData run = runs.find(key).data();
            RequestOutcome outcome =
                    run.outcome() == null ? new RequestOutcome.Unknown(UnknownReason.ANSWER_NOT_KEPT) : run.outcome();
            kept.add(new KeptRun(key.text(), run.id(), outcome));
        }
        return kept;
    }

    /**
     * Fires the timers that are due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void advance(long now, Effects effects) {
        runs.advance(now, effects);
        histories.advance(now, effects);
    }

    /**
     * Returns when the next timer is due.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return Math.min(runs.nextDue(), histories.nextDue());
    }

    /**
     * Returns the number of run records.
     *
     * @return the number of records
     */
    public int size() {
        return runs.size();
    }
}
