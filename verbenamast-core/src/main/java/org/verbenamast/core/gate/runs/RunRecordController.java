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

/** The records of the non-idempotent requests that the backend server beside this node was given. */
public final class RunRecordController {

    /** The names that the chart file of a run may use. */
    public static final Vocabulary<RunRecordEvent, RunRecordGuard, RunRecordAction, RunRecordTimer, RunRecordTag> RUNS =
            new Vocabulary<>(
                    RunRecordEvent.class,
                    RunRecordGuard.class,
                    RunRecordAction.class,
                    RunRecordTimer.class,
                    RunRecordTag.class);

    /** The names that the chart file of a slice's history may use. */
    public static final Vocabulary<HistoryEvent, HistoryGuard, HistoryAction, HistoryTimer, HistoryTag> HISTORIES =
            new Vocabulary<>(
                    HistoryEvent.class, HistoryGuard.class, HistoryAction.class, HistoryTimer.class, HistoryTag.class);

    private static final int RUNS_PER_MESSAGE = 64;

    private final MemberId self;
    private final ServiceSettings service;
    private final RunLimits limits;
    private final ChartInstances<RunKey, RunRecordEvent, RunRecordData, RunRecordInput> runs;
    private final ChartInstances<SliceId, HistoryEvent, HistoryData, HistoryInput> histories;
    private final Map<SliceId, Set<RunKey>> bySlice = new HashMap<>();
    private final Map<MemberId, Long> forgotten = new HashMap<>();
    private final RunArrivals arrivals = new RunArrivals();
    private final RunRecordInput plainRun = new RunRecordInput(this, null);
    private final HistoryInput plainHistory = new HistoryInput(this, null);
    private long keptBytes;

    /**
     * Makes a desk without records.
     *
     * @param self this node
     * @param service the service of the backend server beside it
     * @param limits the bounds of the records
     * @param listener is told of each transition
     */
    public RunRecordController(MemberId self, ServiceSettings service, RunLimits limits, TransitionListener listener) {
        this.self = Objects.requireNonNull(self, "self");
        this.service = Objects.requireNonNull(service, "service");
        this.limits = Objects.requireNonNull(limits, "limits");
        Chart<RunRecordEvent, RunRecordData, RunRecordInput> run = ChartReader.bundled("run", RUNS);
        this.runs = new ChartInstances<>(run, event -> plainRun, listener);
        Chart<HistoryEvent, HistoryData, HistoryInput> history = ChartReader.bundled("history", HISTORIES);
        this.histories = new ChartInstances<>(history, event -> plainHistory, listener);
    }

    /**
     * Tells what is known of the runs of a request.
     *
     * @param key what identifies the runs
     * @param id the identity of this send
     * @return what is known
     */
    public RunStatus standing(RunKey key, RequestId id) {
        Instance<RunRecordData> run = runs.find(key);
        if (run != null) {
            return run.hasTag(RunRecordTag.ENDED) ? RunStatus.ENDED : RunStatus.UNDER_WAY;
        }
        RunStatus unrecorded = key.resendable() ? unrecorded(key.slice()) : unrecorded(id);
        boolean full = unrecorded == RunStatus.FRESH && runs.size() >= limits.maxRuns();
        return full ? RunStatus.FULL : unrecorded;
    }

    private RunStatus unrecorded(SliceId slice) {
        Instance<HistoryData> history = histories.find(slice);
        if (history != null && history.hasTag(HistoryTag.AWAITED)) {
            return RunStatus.AWAITED;
        }
        boolean whole = history != null && history.hasTag(HistoryTag.WHOLE);
        return whole ? RunStatus.FRESH : RunStatus.UNCERTAIN;
    }

    private RunStatus unrecorded(RequestId id) {
        boolean later = id.sequence() > forgotten.getOrDefault(id.entry(), 0L);
        return later ? RunStatus.FRESH : RunStatus.UNCERTAIN;
    }

    /**
     * Returns how the run of a request ended.
     *
     * @param key what identifies the run
     * @return the outcome, or null where no end is on record
     */
    public RequestOutcome outcome(RunKey key) {
        Instance<RunRecordData> run = runs.find(key);
        return run == null ? null : run.data().outcome();
    }

    /**
     * Records that the backend server is given a request.
     *
     * @param key what identifies the run
     * @param id the identity of this send
     * @param now the monotonic time, in nanoseconds
     */
    public void begun(RunKey key, RequestId id, long now) {
        runs.begin(key, new RunRecordData(key, id, null, limits), now);
        if (key.resendable()) {
            bySlice.computeIfAbsent(key.slice(), slice -> new HashSet<>()).add(key);
        }
    }

    /**
     * Records how a run ended.
     *
     * @param key what identifies the run
     * @param outcome how it ended
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void ended(RunKey key, RequestOutcome outcome, long now, Effects effects) {
        runs.fire(key, RunRecordEvent.ENDED, new RunRecordInput(this, outcome), now, effects);
    }

    /** Returns the outcome that a resend is to get, with the answer left out where it takes too much room. */
    RequestOutcome keep(RunKey key, RequestOutcome outcome) {
        if (!(outcome instanceof RequestOutcome.Answered answered)) {
            return outcome;
        }
        int length = answered.body().length();
        boolean fits = length <= limits.maxAnswerBytes() && keptBytes + length <= limits.maxTotalBytes();
        if (!key.resendable() || !fits) {
            return new RequestOutcome.Unknown(UnknownReason.ANSWER_NOT_KEPT);
        }
        keptBytes += length;
        return outcome;
    }

    void dropAnswer(RunRecordData run) {
        if (run.outcome() instanceof RequestOutcome.Answered answered) {
            keptBytes -= answered.body().length();
        }
    }

    void discard(RunRecordData run) {
        dropAnswer(run);
        if (run.key().resendable()) {
            forget(run.key());
        } else if (run.outcome() != null) {
            forgotten.merge(run.id().entry(), run.id().sequence(), Math::max);
        }
    }

    private void forget(RunKey key) {
        bySlice.computeIfPresent(key.slice(), (slice, keys) -> {
            keys.remove(key);
            return keys.isEmpty() ? null : keys;
        });
    }

    /**
     * Brings the histories in line with a row that the directory has learnt.
     *
     * @param row the row
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void learnt(Row row, long now, Effects effects) {
        if (row.value() instanceof MemberRow member && member.status().over()) {
            forgotten.remove(member.id());
        }
        if (!(row.value() instanceof ChunkRow chunk) || !chunk.service().equals(service.name())) {
            return;
        }
        for (int i = 0; i < chunk.grants().size(); i++) {
            SliceId slice = new SliceId(service.name(), chunk.chunk() * service.chunkSlices() + i);
            follow(slice, chunk.grants().get(i), now, effects);
        }
    }

    private void follow(SliceId slice, SliceGrant grant, long now, Effects effects) {
        Instance<HistoryData> known = histories.find(slice);
        if (known != null && known.data().grant().epoch() != grant.epoch()) {
            histories.fire(slice, HistoryEvent.PASSED_ON, new HistoryInput(this, grant), now, effects);
            known = null;
        }
        if (known == null && grant.owner().equals(self)) {
            histories.begin(slice, new HistoryData(slice, grant, limits), now);
            histories.fire(slice, HistoryEvent.GRANTED, plainHistory, now, effects);
        }
    }

    /**
     * Takes a part of the records of a slice's earlier owner.
     *
     * @param part the part
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void recordsCame(PeerMessage.RunRecords part, long now, Effects effects) {
        part.runs().forEach(kept -> adopt(new RunKey(part.slice(), kept.idempotencyKey()), kept, now, effects));
        arrivals.came(part);
        histories.fire(part.slice(), HistoryEvent.RECORDS_CAME, plainHistory, now, effects);
    }

    private void adopt(RunKey key, KeptRun kept, long now, Effects effects) {
        if (runs.find(key) == null) {
            begun(key, kept.id(), now);
            ended(key, kept.outcome(), now, effects);
        }
    }

    boolean complete(HistoryData history) {
        return arrivals.complete(history.slice(), history.grant().epoch());
    }

    void sendRecords(SliceId slice, SliceGrant next, Effects effects) {
        List<KeptRun> kept = keptIn(slice);
        int parts = Math.max(1, (kept.size() + RUNS_PER_MESSAGE - 1) / RUNS_PER_MESSAGE);
        for (int part = 0; part < parts; part++) {
            int from = part * RUNS_PER_MESSAGE;
            int to = Math.min(kept.size(), from + RUNS_PER_MESSAGE);
            PeerMessage message = new PeerMessage.RunRecords(slice, next.epoch(), part, parts, kept.subList(from, to));
            effects.emit(new Effect.SendToPeer(next.owner(), message));
        }
    }

    private List<KeptRun> keptIn(SliceId slice) {
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
     * @param effects the sink of the effects
     */
    public void advance(long now, Effects effects) {
        runs.advance(now, effects);
        histories.advance(now, effects);
    }

    /**
     * Returns when this desk has something to do next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return Math.min(runs.nextDue(), histories.nextDue());
    }

    /**
     * Returns how many runs are on record.
     *
     * @return the number
     */
    public int size() {
        return runs.size();
    }
}
