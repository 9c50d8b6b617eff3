package org.verbenamast.core.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

import org.verbenamast.core.admission.AdmissionEffect;
import org.verbenamast.core.admission.AdmissionRequest;
import org.verbenamast.core.backend.NoticeEffect;
import org.verbenamast.core.backend.ServerNotice;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.gate.crash.Fingerprint;
import org.verbenamast.core.keys.FreedKeys;
import org.verbenamast.core.keys.KeyGrant;
import org.verbenamast.core.keys.KeyLeaseTimings;
import org.verbenamast.core.keys.KeyMap;
import org.verbenamast.core.keys.KeyReport;
import org.verbenamast.core.manifest.Manifest;
import org.verbenamast.core.manifest.RequestKind;
import org.verbenamast.core.manifest.RequestLimits;
import org.verbenamast.core.manifest.ServiceRules;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Heartbeat;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.roster.ServerState;
import org.verbenamast.core.rows.RowRef;
import org.verbenamast.core.rows.RowTable;
import org.verbenamast.core.rows.StoreEffect;
import org.verbenamast.core.rows.StorePurpose;
import org.verbenamast.core.rows.StoreResult;
import org.verbenamast.core.rows.StoreVersion;
import org.verbenamast.core.rows.StoredRow;
import org.verbenamast.core.rows.VirtualRows;
import org.verbenamast.core.store.StoreFailure;
import org.verbenamast.core.watch.FollowEffect;
import org.verbenamast.core.watch.FollowEvent;
import org.verbenamast.core.watch.FollowInput;
import org.verbenamast.core.watch.FollowResult;
import org.verbenamast.core.watch.FollowedTable;
import org.verbenamast.core.watch.OperatorRow;

/** A node on virtual time with its store, whose process can be killed, frozen and started again. */
final class VirtualRelay {

    static final String NODE = "node";
    static final String SERVICE = "stock";

    private static final long STEP_NANOS = Timing.millisToNanos(5);
    private static final long STORE_MILLIS = 5;
    private static final long STORE_TIMEOUT_MILLIS = 1_000;
    private static final Address SERVER = new Address("127.0.0.1", 2);

    final VirtualRows store = new VirtualRows();
    private final boolean keyed;
    private final List<ScheduledTask> tasks = new ArrayList<>();
    private final Map<Long, NoticeEffect> answers = new HashMap<>();
    private final List<StoreEffect.Commit> commits = new ArrayList<>();
    private List<OperatorRow> operatorRows;
    private RelayCore core;
    private TableAnswers tables;
    private boolean storeReachable = true;
    private long now = Timing.millisToNanos(1_000);
    private long processes;
    private long lastCallId;
    private long lastRequest;
    private Effect lastVerdict;

    private record ScheduledTask(long dueAt, RelayCore process, Runnable action) {}

    VirtualRelay(boolean keyed) {
        this.keyed = keyed;
        this.operatorRows = List.of(new OperatorRow.ManifestRow(1, manifest(1)));
        startProcess();
    }

    void startProcess() {
        core = new RelayCore(
                new RelaySettings(
                        NODE,
                        ++processes,
                        new Zone("a"),
                        SERVICE,
                        SERVER,
                        new Address("127.0.0.1", 1),
                        KeyLeaseTimings.DEFAULT,
                        2_000,
                        RelayLimits.DEFAULT,
                        now,
                        () -> 0.5),
                TransitionListener.NONE);
        tables = new TableAnswers(core);
        core.start(now, this::execute);
    }

    void killProcess() {
        tasks.removeIf(task -> task.process() == core);
        core = null;
    }

    void restartProcess() {
        killProcess();
        startProcess();
    }

    /** Stops the process for a time, as a suspended host does, and continues it. */
    void freeze(long millis) {
        now += Timing.millisToNanos(millis);
        core.onSuspended(now, this::execute);
    }

    void setStoreReachable(boolean reachable) {
        storeReachable = reachable;
    }

    void run(long millis) {
        long end = now + Timing.millisToNanos(millis);
        while (now < end) {
            now += STEP_NANOS;
            List<ScheduledTask> due =
                    tasks.stream().filter(task -> task.dueAt() <= now).toList();
            tasks.removeAll(due);
            due.stream().filter(task -> task.process() == core).forEach(task -> task.action()
                    .run());
            core.advance(now, this::execute);
        }
    }

    private void execute(Effect effect) {
        if (effect instanceof NoticeEffect answer) {
            answers.put(answer.callId(), answer);
        } else if (effect instanceof StoreEffect call) {
            execute(call);
        } else if (effect instanceof FollowEffect.ReadAll read) {
            long millis = storeReachable ? STORE_MILLIS : STORE_TIMEOUT_MILLIS;
            boolean reached = storeReachable;
            schedule(millis, () -> answer(read, reached));
        } else if (effect instanceof FollowEffect.Await await && storeReachable) {
            schedule(STORE_MILLIS, () -> answer(await, now + Timing.millisToNanos(await.waitMillis())));
        } else if (effect instanceof AdmissionEffect) {
            lastVerdict = effect;
        }
    }

    private void schedule(long millis, Runnable action) {
        tasks.add(new ScheduledTask(now + Timing.millisToNanos(millis), core, action));
    }

    private void execute(StoreEffect call) {
        if (call instanceof StoreEffect.Commit commit) {
            commits.add(commit);
        }
        StorePurpose purpose = call.purpose();
        boolean reached = storeReachable;
        schedule(reached ? STORE_MILLIS : STORE_TIMEOUT_MILLIS, () -> {
            StoreResult result = reached ? store.execute(call) : new StoreResult.Failed(StoreFailure.NO_ANSWER);
            core.onStoreResult(purpose, call.callId(), result, now, this::execute);
        });
    }

    private void answer(FollowEffect.ReadAll read, boolean reached) {
        FollowInput input = reached ? FollowInput.ofAnswer(store.version(), 0, false) : FollowInput.NONE;
        FollowEvent event = reached ? FollowEvent.READ : FollowEvent.FAILED;
        FollowResult result = new FollowResult(read.table(), read.callId(), event, input);
        if (!reached) {
            core.follow().onCallEnded(result, now, this::execute);
        } else if (read.table() == FollowedTable.SHARED) {
            tables.onSharedRows(result, store.followedRows(), now, this::execute);
        } else {
            tables.onOperatorRows(result, operatorRows, now, this::execute);
        }
    }

    /** Answers a call that waits for changes, with the changed rows or at the end of its wait. */
    private void answer(FollowEffect.Await await, long until) {
        if (StoreVersion.ofPacked(await.afterVersion()).era() < store.era()) {
            onGone(await);
            return;
        }
        boolean shared = await.table() == FollowedTable.SHARED;
        List<StoredRow> changed = store.followedRows().stream()
                .filter(row -> shared && row.version() > await.afterVersion())
                .toList();
        List<OperatorRow> written = operatorRows.stream()
                .filter(row -> !shared && row.version() > await.afterVersion())
                .toList();
        boolean empty = changed.isEmpty() && written.isEmpty();
        if (empty && now < until) {
            schedule(STORE_MILLIS, () -> answer(await, until));
            return;
        }
        FollowInput input = FollowInput.ofAnswer(store.version(), 0, empty);
        FollowResult result = new FollowResult(await.table(), await.callId(), FollowEvent.CHANGED, input);
        if (shared) {
            tables.onSharedRows(result, changed, now, this::execute);
        } else {
            tables.onOperatorRows(result, written, now, this::execute);
        }
    }

    /** Answers a call that follows a version of a former era; one that was pending in that era is never answered. */
    private void onGone(FollowEffect.Await await) {
        if (storeReachable) {
            FollowResult gone =
                    new FollowResult(await.table(), await.callId(), FollowEvent.HISTORY_GONE, FollowInput.NONE);
            core.follow().onEra(store.era(), now, this::execute);
            core.follow().onCallEnded(gone, now, this::execute);
        }
    }

    /** Sets all rows of the operators' table. */
    void setOperatorRows(OperatorRow... rows) {
        operatorRows = List.of(rows);
    }

    Manifest manifest(long version) {
        return new Manifest(
                version,
                List.of(),
                List.of(new ServiceRules(SERVICE, 100, 0, keyed)),
                RequestLimits.DEFAULT,
                List.of());
    }

    Heartbeat heartbeatWithoutKeys(ServerIncarnation incarnation, ServerState state) {
        return new Heartbeat(incarnation, SERVICE, SERVER.toString(), 9, state, 0, 1, Optional.empty());
    }

    Heartbeat heartbeat(ServerIncarnation incarnation, ServerState state, long sequence, FreedKeys... freed) {
        return new Heartbeat(
                incarnation,
                SERVICE,
                SERVER.toString(),
                9,
                state,
                0,
                sequence,
                Optional.of(new KeyReport(List.of(), List.of(freed))));
    }

    /** Delivers a heartbeat of a server that accepts requests, and returns the number of the call. */
    long deliverReady(ServerIncarnation incarnation, long sequence) {
        return deliver(ServerNotice.of(heartbeat(incarnation, ServerState.READY, sequence)));
    }

    long deliver(ServerNotice notice) {
        long callId = ++lastCallId;
        core.onNotice(callId, notice, now, this::execute);
        return callId;
    }

    Optional<NoticeEffect> answer(long callId) {
        return Optional.ofNullable(answers.get(callId));
    }

    boolean isConfirmed(long callId) {
        return answers.get(callId) instanceof NoticeEffect.Confirm;
    }

    /** Returns the keys that the answer to a heartbeat grants. */
    Optional<KeyGrant> grant(long callId) {
        return answers.get(callId) instanceof NoticeEffect.Confirm confirm ? confirm.grant() : Optional.empty();
    }

    /** Returns whether a request for an incarnation of the server reaches it now. */
    boolean isServed(ServerIncarnation incarnation) {
        lastVerdict = null;
        long id = ++lastRequest;
        long deadline = now + Timing.millisToNanos(2_000);
        AdmissionRequest request = new AdmissionRequest(
                id,
                "attempt-" + id,
                "route",
                SERVICE,
                incarnation,
                RequestKind.SAFE,
                1,
                OptionalInt.empty(),
                true,
                now,
                deadline,
                deadline);
        core.admission().onRequest(request, now, this::execute);
        boolean served = lastVerdict instanceof AdmissionEffect.Dispatch;
        core.admission().onWithdrawn(id, now, this::execute);
        return served;
    }

    boolean isStopped(Fingerprint request) {
        return core.crashReports().isStopped(request, now);
    }

    boolean isReady() {
        return core.isReady();
    }

    long manifestVersion() {
        return core.manifest().version();
    }

    /** Returns the row from which the other nodes know this one. */
    Optional<Member> storedMember() {
        return store.read(new RowRef(RowTable.MEMBERS, NODE)).content().map(Member.class::cast);
    }

    /** Returns the owners of keys that the store knows. */
    KeyMap storedKeyMap() {
        return KeyMap.of(store.read(new RowRef(RowTable.KEYS, SERVICE)));
    }

    /** Returns how many transactions for a purpose were begun. */
    long commits(StorePurpose purpose) {
        return commits.stream().filter(commit -> commit.purpose() == purpose).count();
    }
}
