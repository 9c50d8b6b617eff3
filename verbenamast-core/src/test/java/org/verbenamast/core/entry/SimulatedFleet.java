package org.verbenamast.core.entry;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;

import org.verbenamast.core.admission.AdmissionController;
import org.verbenamast.core.admission.AdmissionEffect;
import org.verbenamast.core.admission.AdmissionLoad;
import org.verbenamast.core.admission.AdmissionRequest;
import org.verbenamast.core.admission.AllPermitted;
import org.verbenamast.core.admission.Refusal;
import org.verbenamast.core.admission.ServerOutcome;
import org.verbenamast.core.admission.ServerStatus;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.gate.crash.CrashReportController;
import org.verbenamast.core.gate.crash.Fingerprint;
import org.verbenamast.core.gate.crash.ReportedSuspects;
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
 * Plays, on virtual time, a fleet whose entry nodes each select servers of one service for themselves. Long requests
 * share the servers with short ones, the servers differ in speed, and each is three times slower for a fifth of the
 * time. An entry hears of a server only with its own answers.
 */
final class SimulatedFleet {

    private static final String SERVICE = "s";
    private static final int SLOTS = 4;
    private static final double SERVERS_PER_ENTRY = 35.0 / 88;
    private static final double[] SPEEDS = {0.6, 1, 1.4};
    private static final double SLOW_SHARE = 0.2;
    private static final double SLOW_FACTOR = 3;
    private static final double PACE_MILLIS = 400;
    private static final double HOP_MILLIS = 1.5;
    private static final double PLAYED_MILLIS = 9_000;
    private static final double WARM_UP_MILLIS = 2_000;

    /** A kind of request: its route, mean and spread of its work, and requests per second and entry. */
    private enum Load {
        LONG(RequestKind.UNSAFE, 1, 250, 0.5, 850, 1_200, 3.14),
        SHORT(RequestKind.SAFE, 0, 38, 0.5, 197, 656, 10);

        private final Route route;
        private final double workMillis;
        private final double spread;
        private final double perSecond;

        Load(
                RequestKind kind,
                int priority,
                double workMillis,
                double spread,
                long objectiveMillis,
                long timeoutMillis,
                double perSecond) {
            this.route = new Route(
                    name(),
                    "h",
                    "/",
                    kind,
                    timeoutMillis,
                    objectiveMillis,
                    priority,
                    2,
                    false,
                    List.of(new Split(SERVICE, 1)));
            this.workMillis = workMillis;
            this.spread = spread;
            this.perSecond = perSecond;
        }

        private double drawWorkMillis(Random random) {
            return workMillis * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
        }
    }

    /** What an entry learns of the servers. */
    enum Reports {
        DELIVERED {
            @Override
            AdmissionLoad received(AdmissionLoad load) {
                return load;
            }
        },
        /** Servers are selected at random, as all reports are the same. */
        BLANK {
            @Override
            AdmissionLoad received(AdmissionLoad load) {
                return new AdmissionLoad(0, 0, load.slots(), 100, false, false);
            }
        };

        abstract AdmissionLoad received(AdmissionLoad load);
    }

    enum Result {
        IN_TIME,
        LATE,
        REFUSED,
        FAILED
    }

    private record Event(double at, long order, Runnable action) {}

    private record Open(Load load, int entry, double sentAt, double workMillis, int server) {

        private Open at(int selected) {
            return new Open(load, entry, sentAt, workMillis, selected);
        }
    }

    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.at() == b.at() ? Long.compare(a.order(), b.order()) : Double.compare(a.at(), b.at()));
    private final List<EntryController> entries = new ArrayList<>();
    private final List<AdmissionController> gates = new ArrayList<>();
    private final List<Integer> dispatched = new ArrayList<>();
    private final Map<String, Integer> serverIndexes = new HashMap<>();
    private final Map<Long, Open> open = new HashMap<>();
    /** The results of the long requests. */
    private final Map<Result, Integer> results = new EnumMap<>(Result.class);

    private final Reports reports;
    private final int paceSeed;
    private int rejectingServers;
    private double rejectedShare;
    private int rejections;
    private double clock;
    private long lastEvent;
    private long lastRequest;

    SimulatedFleet(int entryCount, double loadFactor, long seed, Reports reports) {
        this.reports = reports;
        random = new Random(seed);
        paceSeed = random.nextInt();
        Roster roster = new Roster();
        int serverCount = (int) Math.round(entryCount * SERVERS_PER_ENTRY);
        for (int index = 0; index < serverCount; index++) {
            addServer(roster, index);
        }
        RowReplica replica = new RowReplica(row -> {});
        for (int entry = 0; entry < entryCount; entry++) {
            CrashReportController crashes =
                    new CrashReportController("entry-" + entry, replica, new ReportedSuspects(), random::nextDouble);
            entries.add(new EntryController(
                    zoneOf(entry), roster, replica, crashes, 0, random::nextDouble, TransitionListener.NONE));
        }
        for (Load load : Load.values()) {
            scheduleArrival(load, load.perSecond * loadFactor * entryCount / 1_000);
        }
    }

    /** Has the first servers reject a share of the requests although they have room. */
    SimulatedFleet withRejections(int servers, double share) {
        rejectingServers = servers;
        rejectedShare = share;
        return this;
    }

    private static Zone zoneOf(int index) {
        return new Zone("zone-" + index % 4);
    }

    private void addServer(Roster roster, int index) {
        ServerIncarnation incarnation = new ServerIncarnation("server-" + index, 1);
        String node = "node-" + index;
        roster.put(new Member(
                node,
                new Address("127.0.0.1", index + 1),
                zoneOf(index),
                SERVICE,
                incarnation,
                SLOTS,
                ServerState.READY));
        serverIndexes.put(node, index);
        AdmissionController gate = new AdmissionController(new AllPermitted(), TransitionListener.NONE);
        gate.onServerStatus(Optional.of(new ServerStatus(incarnation, SERVICE, SLOTS, 0, 0, 0)), nanos(), effect -> {});
        gates.add(gate);
        dispatched.add(0);
    }

    private long nanos() {
        return (long) ((clock + 1_000) * Timing.NANOS_PER_MILLI);
    }

    private void schedule(double inMillis, Runnable action) {
        events.add(new Event(clock + inMillis, ++lastEvent, action));
    }

    private void scheduleArrival(Load load, double perMilli) {
        schedule(-Math.log(1 - random.nextDouble()) / perMilli, () -> {
            arrive(load);
            scheduleArrival(load, perMilli);
        });
    }

    private void arrive(Load load) {
        int entry = random.nextInt(entries.size());
        long id = ++lastRequest;
        open.put(id, new Open(load, entry, clock, load.drawWorkMillis(random), -1));
        EntryRequest request = new EntryRequest(
                id,
                "attempt-" + id,
                load.route,
                SERVICE,
                OptionalInt.empty(),
                nanos(),
                nanos() + Timing.millisToNanos(load.route.objectiveMillis()),
                nanos() + Timing.millisToNanos(load.route.timeoutMillis()));
        schedule(
                load.route.timeoutMillis(),
                () -> atEntry(entry, effects -> entries.get(entry).advance(nanos(), effects)));
        atEntry(entry, effects -> entries.get(entry).onCallerRequest(request, new Fingerprint(id), nanos(), effects));
    }

    private void atEntry(int entry, Consumer<Effects> decision) {
        List<Effect> emitted = new ArrayList<>();
        decision.accept(emitted::add);
        for (Effect effect : emitted) {
            if (effect instanceof EntryEffect.OpenAttempt attempt) {
                int server = serverIndexes.get(attempt.target().node());
                open.computeIfPresent(attempt.id(), (id, request) -> request.at(server));
                AdmissionRequest request = admissionRequest(attempt);
                schedule(
                        HOP_MILLIS,
                        () -> atGate(server, effects -> gates.get(server).onRequest(request, nanos(), effects)));
            } else if (effect instanceof EntryEffect.Withdraw withdraw) {
                int server = open.get(withdraw.id()).server();
                schedule(
                        HOP_MILLIS,
                        () -> atGate(
                                server, effects -> gates.get(server).onWithdrawn(withdraw.id(), nanos(), effects)));
            } else if (effect instanceof EntryEffect.Deliver deliver) {
                Open ended = open.get(deliver.id());
                boolean inTime = clock - ended.sentAt() <= ended.load().route.objectiveMillis();
                end(deliver.id(), inTime ? Result.IN_TIME : Result.LATE);
                atEntry(entry, effects -> entries.get(entry).onDelivered(deliver.id(), nanos(), effects));
            } else if (effect instanceof EntryEffect.Refuse refuse) {
                end(refuse.id(), Result.REFUSED);
            } else if (effect instanceof EntryEffect.Fail fail) {
                end(fail.id(), Result.FAILED);
            }
        }
    }

    private AdmissionRequest admissionRequest(EntryEffect.OpenAttempt attempt) {
        Open request = open.get(attempt.id());
        Route route = request.load().route;
        long sentAt = (long) ((request.sentAt() + 1_000) * Timing.NANOS_PER_MILLI);
        return new AdmissionRequest(
                attempt.id(),
                "attempt-" + attempt.id(),
                route.name(),
                SERVICE,
                attempt.target().incarnation(),
                route.kind(),
                route.priority(),
                OptionalInt.empty(),
                attempt.lastChance(),
                nanos() + Timing.millisToNanos(1),
                sentAt + Timing.millisToNanos(route.objectiveMillis()),
                sentAt + Timing.millisToNanos(route.timeoutMillis()));
    }

    private void end(long id, Result result) {
        Open ended = open.get(id);
        if (ended.load() == Load.LONG && ended.sentAt() >= WARM_UP_MILLIS) {
            results.merge(result, 1, Integer::sum);
        }
    }

    private void atGate(int server, Consumer<Effects> decision) {
        AdmissionController gate = gates.get(server);
        List<Effect> emitted = new ArrayList<>();
        decision.accept(emitted::add);
        for (Effect effect : emitted) {
            long id = ((AdmissionEffect) effect).id();
            int entry = open.get(id).entry();
            AdmissionLoad load = reports.received(gate.load(nanos()));
            if (effect instanceof AdmissionEffect.Dispatch) {
                dispatched.set(server, dispatched.get(server) + 1);
                if (server < rejectingServers && random.nextDouble() < rejectedShare) {
                    schedule(HOP_MILLIS, () -> reject(server, id));
                    continue;
                }
                double millis = durationMillis(server, open.get(id).workMillis());
                schedule(millis, () -> finish(server, id));
            } else if (effect instanceof AdmissionEffect.Refuse refuse) {
                schedule(
                        HOP_MILLIS,
                        () -> atEntry(entry, effects -> entries.get(entry)
                                .onRefused(id, 0, refuse.reason(), refuse.retryAfterMillis(), load, nanos(), effects)));
            } else if (effect instanceof AdmissionEffect.CancelOverdue) {
                schedule(
                        HOP_MILLIS,
                        () -> atEntry(entry, effects -> entries.get(entry).onBroken(id, 0, false, nanos(), effects)));
            }
        }
        double due = (double) gate.nextDue() / Timing.NANOS_PER_MILLI - 1_000;
        if (due < PLAYED_MILLIS && due > clock) {
            schedule(due - clock, () -> atGate(server, effects -> gate.advance(nanos(), effects)));
        }
    }

    private void finish(int server, long id) {
        int entry = open.get(id).entry();
        AdmissionLoad load = reports.received(gates.get(server).load(nanos()));
        atGate(server, effects -> gates.get(server).onFinished(id, ServerOutcome.ANSWERED, nanos(), effects));
        schedule(
                HOP_MILLIS,
                () -> atEntry(entry, effects -> entries.get(entry).onAnswer(id, 0, false, load, nanos(), effects)));
    }

    private void reject(int server, long id) {
        rejections++;
        int entry = open.get(id).entry();
        atGate(server, effects -> gates.get(server).onFinished(id, ServerOutcome.REJECTED, nanos(), effects));
        long retryMillis = gates.get(server).rejectedRetryMillis();
        AdmissionLoad load = reports.received(gates.get(server).load(nanos()));
        schedule(
                HOP_MILLIS,
                () -> atEntry(entry, effects -> entries.get(entry)
                        .onRefused(id, 0, Refusal.SHED, retryMillis, load, nanos(), effects)));
    }

    private double durationMillis(int server, double workMillis) {
        double left = workMillis / SPEEDS[server % SPEEDS.length];
        double at = clock;
        while (true) {
            long period = (long) (at / PACE_MILLIS);
            double draw = new Random(paceSeed + 7_919 * period + 104_729L * server).nextDouble();
            double factor = draw < SLOW_SHARE ? SLOW_FACTOR : 1;
            double untilNext = (period + 1) * PACE_MILLIS - at + 1e-6;
            if (left * factor <= untilNext) {
                return at + left * factor - clock;
            }
            left -= untilNext / factor;
            at += untilNext;
        }
    }

    void play() {
        while (!events.isEmpty() && events.peek().at() < PLAYED_MILLIS) {
            Event event = events.poll();
            clock = event.at();
            event.action().run();
        }
    }

    double share(Result... wanted) {
        double all = results.values().stream().mapToInt(Integer::intValue).sum();
        double sum = 0;
        for (Result result : wanted) {
            sum += results.getOrDefault(result, 0);
        }
        return sum / all;
    }

    double rejectedShareOfArrivals() {
        return (double) rejections
                / dispatched.stream().mapToInt(Integer::intValue).sum();
    }

    double busiestOverMean() {
        double mean = dispatched.stream().mapToInt(Integer::intValue).average().orElseThrow();
        return dispatched.stream().mapToInt(Integer::intValue).max().orElseThrow() / mean;
    }
}
