package org.verbenamast.it.bench;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.verbenamast.core.admission.AdmissionController;
import org.verbenamast.core.admission.AdmissionRequest;
import org.verbenamast.core.admission.AdmissionRules;
import org.verbenamast.core.admission.ServerStatus;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.entry.EntryController;
import org.verbenamast.core.entry.EntryRequest;
import org.verbenamast.core.gate.crash.CrashReportController;
import org.verbenamast.core.gate.crash.Fingerprint;
import org.verbenamast.core.gate.crash.ReportedSuspects;
import org.verbenamast.core.keys.KeyLoad;
import org.verbenamast.core.manifest.RequestKind;
import org.verbenamast.core.manifest.Route;
import org.verbenamast.core.manifest.Split;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.Roster;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.roster.ServerState;
import org.verbenamast.core.rows.RowReplica;

/**
 * Measures the decisions that a relay takes for each request, with 100 members of the service and 100 requests queued
 * in front of the server, with the first compiler only, as the relays run.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(value = 1, jvmArgsAppend = "-XX:TieredStopAtLevel=1")
public class DecisionBenchmark {

    private static final int MEMBERS = 100;
    private static final int QUEUED = 100;
    private static final int SLOTS = 9;
    private static final int KEYS_PER_REPORT = 50;
    private static final String SERVICE = "stock";
    private static final Fingerprint CONTENT = new Fingerprint(1);
    private static final ServerIncarnation INCARNATION = new ServerIncarnation("i-1", 1);
    private static final Route ROUTE =
            new Route("r", "h", "/", RequestKind.SAFE, 60_000, 300, 1, 2, false, List.of(new Split(SERVICE, 1)));
    private static final Effects IGNORED = effect -> {};

    private static final AdmissionRules RULES = new AdmissionRules() {
        @Override
        public boolean isEvacuated(boolean keyed, long now) {
            return false;
        }

        @Override
        public boolean isGranted(int key, long now) {
            return true;
        }

        @Override
        public boolean isExpected(int key, long now) {
            return false;
        }

        @Override
        public boolean isSuspect(long id, long now) {
            return false;
        }
    };

    private final Roster roster = new Roster();
    private final RowReplica replica = new RowReplica(row -> {});
    private final KeyLoad keyLoad = new KeyLoad();
    private AdmissionController admission;
    private EntryController entry;
    private long lastId;
    private long now = Timing.millisToNanos(1_000);

    /** Fills the roster and the queue. */
    @Setup
    public void setUp() {
        for (int i = 0; i < MEMBERS; i++) {
            roster.put(new Member(
                    "node-" + i,
                    new Address("127.0.0.1", 1 + i),
                    new Zone("zone-" + i % 3),
                    SERVICE,
                    new ServerIncarnation("i-" + i, 1),
                    SLOTS,
                    ServerState.READY));
        }
        CrashReportController crashReports =
                new CrashReportController("node-0", replica, new ReportedSuspects(), () -> 0.5);
        entry = new EntryController(
                new Zone("zone-0"), roster, replica, crashReports, 0, () -> 0.5, TransitionListener.NONE);
        admission = new AdmissionController(RULES, TransitionListener.NONE);
        admission.onServerStatus(Optional.of(new ServerStatus(INCARNATION, SERVICE, SLOTS, 0, 0, 0)), now, IGNORED);
        while (admission.load(now).queued() < QUEUED) {
            admission.onRequest(admissionRequest(60_000, 60_000), now, IGNORED);
        }
    }

    private AdmissionRequest admissionRequest(long objectiveMillis, long deadlineMillis) {
        long id = ++lastId;
        return new AdmissionRequest(
                id,
                "attempt",
                ROUTE.name(),
                SERVICE,
                INCARNATION,
                RequestKind.SAFE,
                1,
                OptionalInt.empty(),
                true,
                now,
                now + Timing.millisToNanos(objectiveMillis),
                now + Timing.millisToNanos(deadlineMillis));
    }

    /** Refuses a request that would wait for too long behind the queued ones. */
    @Benchmark
    public void refuseBehindQueue() {
        admission.onRequest(admissionRequest(150, 300), now, IGNORED);
    }

    /** Selects the fastest member for a request, whose caller then leaves. */
    @Benchmark
    public void selectMember() {
        long id = ++lastId;
        entry.onCallerRequest(
                new EntryRequest(
                        id,
                        "attempt",
                        ROUTE,
                        SERVICE,
                        OptionalInt.empty(),
                        now,
                        now + Timing.millisToNanos(300),
                        now + Timing.millisToNanos(2_000)),
                CONTENT,
                now,
                IGNORED);
        entry.onCallerGone(id, now, IGNORED);
    }

    /** Applies a load report to the loads of the keys, of which some thousands are busy. */
    @Benchmark
    public void applyLoadReport() {
        now += Timing.millisToNanos(5);
        keyLoad.add(
                IntStream.range(0, KEYS_PER_REPORT)
                        .mapToObj(i -> (int) ((now / 7_919 + i * 131L) % 8_192))
                        .toList(),
                now);
    }
}
