package org.verbenamast.core.entry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.admission.AdmissionLoad;
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

import static org.assertj.core.api.Assertions.assertThat;

/** Plays, on virtual time, an entry node and ten servers, some of which are slow at times, with and without hedges. */
class HedgeMeasureTest {

    private static final String SERVICE = "s";
    private static final int SERVERS = 10;
    private static final int SLOTS = 4;
    private static final double SERVICE_MILLIS = 100;
    private static final double SLOWDOWN = 10;
    private static final double HOP_MILLIS = 1.5;
    private static final double PLAYED_MILLIS = 60_000;
    private static final double WARM_UP_MILLIS = 5_000;
    /** Shortest time between two decisions by timer, in milliseconds; beyond the rounding of times. */
    private static final double SHORTEST_MILLIS = 0.001;

    private static final long HEDGES_PER_MILLE = 50;
    /** Hedges that the reserve allows beyond the ratio. */
    private static final int RESERVE = 2;

    private static final Route ROUTE =
            new Route("r", "h", "/", RequestKind.SAFE, 3_000, 400, 1, 2, false, List.of(new Split(SERVICE, 1)));

    /** What the servers go through, and how many requests arrive for each that they can run. */
    private enum Load {
        ONE_SLOW(0.4) {
            @Override
            double factor(int server, double at) {
                return (int) (at / 1_000) % SERVERS == server ? SLOWDOWN : 1;
            }
        },
        ALL_SLOW(0.05) {
            @Override
            double factor(int server, double at) {
                return (int) (at / 5_000) % 2 == 1 ? SLOWDOWN : 1;
            }
        },
        OVERLOAD(1.5) {
            @Override
            double factor(int server, double at) {
                return 1;
            }
        };

        private final double share;

        Load(double share) {
            this.share = share;
        }

        abstract double factor(int server, double at);
    }

    private record Event(double at, long order, Runnable action) {}

    private record Try(long id, int number, int server) {}

    /** One play. */
    private static final class Play {
        private final Load load;
        private final Random random;
        private final PriorityQueue<Event> events = new PriorityQueue<>(
                (a, b) -> a.at() == b.at() ? Long.compare(a.order(), b.order()) : Double.compare(a.at(), b.at()));
        private final EntryController entry;
        private final List<Deque<Try>> waiting = new ArrayList<>();
        private final List<Set<Try>> running = new ArrayList<>();
        private final Set<Try> open = new HashSet<>();
        private final Map<Long, Double> sentAt = new HashMap<>();
        private final List<Double> latencies = new ArrayList<>();
        private int hedges;
        private double clock;
        private double timerAt = Double.MAX_VALUE;
        private long last;

        private Play(Load load, long hedgesPerMille, long seed) {
            this.load = load;
            random = new Random(seed);
            Roster roster = new Roster();
            for (int server = 0; server < SERVERS; server++) {
                waiting.add(new ArrayDeque<>());
                running.add(new HashSet<>());
                roster.put(new Member(
                        "node-" + server,
                        new Address("127.0.0.1", server + 1),
                        new Zone("a"),
                        SERVICE,
                        new ServerIncarnation("server-" + server, 1),
                        SLOTS,
                        ServerState.READY));
            }
            RowReplica replica = new RowReplica(row -> {});
            entry = new EntryController(
                    new Zone("a"),
                    roster,
                    replica,
                    new CrashReportController("entry", replica, new ReportedSuspects(), random::nextDouble),
                    hedgesPerMille,
                    random::nextDouble,
                    TransitionListener.NONE);
            scheduleArrival();
        }

        private long nanos() {
            return (long) ((clock + 1_000) * Timing.NANOS_PER_MILLI);
        }

        private void schedule(double inMillis, Runnable action) {
            events.add(new Event(clock + inMillis, ++last, action));
        }

        private void scheduleArrival() {
            double perMilli = load.share * SERVERS * SLOTS / SERVICE_MILLIS;
            schedule(-Math.log(1 - random.nextDouble()) / perMilli, () -> {
                arrive();
                scheduleArrival();
            });
        }

        private void arrive() {
            long id = ++last;
            sentAt.put(id, clock);
            EntryRequest request = new EntryRequest(
                    id,
                    "attempt-" + id,
                    ROUTE,
                    SERVICE,
                    OptionalInt.empty(),
                    nanos(),
                    nanos() + Timing.millisToNanos(ROUTE.objectiveMillis()),
                    nanos() + Timing.millisToNanos(ROUTE.timeoutMillis()));
            decide(effects -> entry.onCallerRequest(request, new Fingerprint(id), nanos(), effects));
        }

        private void decide(Consumer<Effects> decision) {
            List<Effect> effects = new ArrayList<>();
            decision.accept(effects::add);
            for (Effect effect : effects) {
                if (effect instanceof EntryEffect.OpenAttempt attempt) {
                    hedges += attempt.hedge() ? 1 : 0;
                    int server = Integer.parseInt(attempt.target().node().substring("node-".length()));
                    Try sent = new Try(attempt.id(), attempt.number(), server);
                    open.add(sent);
                    schedule(HOP_MILLIS, () -> reach(sent));
                } else if (effect instanceof EntryEffect.Withdraw withdraw) {
                    withdraw(withdraw.id(), 0);
                } else if (effect instanceof EntryEffect.Keep keep) {
                    withdraw(keep.id(), keep.number());
                } else if (effect instanceof EntryEffect.Deliver deliver) {
                    double sent = sentAt.get(deliver.id());
                    if (sent >= WARM_UP_MILLIS) {
                        latencies.add(clock - sent);
                    }
                    decide(list -> entry.onDelivered(deliver.id(), nanos(), list));
                }
            }
            double due = (double) entry.nextDue() / Timing.NANOS_PER_MILLI - 1_000;
            if (due < timerAt && due < PLAYED_MILLIS) {
                timerAt = Math.max(due, clock + SHORTEST_MILLIS);
                schedule(timerAt - clock, () -> {
                    timerAt = Double.MAX_VALUE;
                    decide(list -> entry.advance(nanos(), list));
                });
            }
        }

        private void withdraw(long id, int kept) {
            for (Try each : List.copyOf(open)) {
                if (each.id() == id && each.number() != kept) {
                    open.remove(each);
                    schedule(HOP_MILLIS, () -> leave(each));
                }
            }
        }

        private void reach(Try sent) {
            if (open.contains(sent)) {
                waiting.get(sent.server()).add(sent);
                start(sent.server());
            }
        }

        private void start(int server) {
            while (running.get(server).size() < SLOTS && !waiting.get(server).isEmpty()) {
                Try next = waiting.get(server).poll();
                running.get(server).add(next);
                double millis = SERVICE_MILLIS * Math.exp(0.3 * random.nextGaussian() - 0.045);
                schedule(millis * load.factor(server, clock), () -> finish(next));
            }
        }

        private void leave(Try sent) {
            waiting.get(sent.server()).remove(sent);
            running.get(sent.server()).remove(sent);
            start(sent.server());
        }

        private void finish(Try sent) {
            if (!running.get(sent.server()).remove(sent)) {
                return;
            }
            start(sent.server());
            int server = sent.server();
            AdmissionLoad report = new AdmissionLoad(
                    running.get(server).size(), waiting.get(server).size(), SLOTS, (int) SERVICE_MILLIS, false, false);
            schedule(HOP_MILLIS, () -> {
                if (open.remove(sent)) {
                    decide(list -> entry.onAnswer(sent.id(), sent.number(), false, report, nanos(), list));
                }
            });
        }

        private void play() {
            while (events.peek().at() < PLAYED_MILLIS) {
                Event event = events.poll();
                clock = event.at();
                event.action().run();
            }
            Collections.sort(latencies);
        }

        private double quantile(double share) {
            return latencies.get((int) (latencies.size() * share));
        }

        private int allowedHedges() {
            return (int) (sentAt.size() * HEDGES_PER_MILLE / 1_000) + RESERVE;
        }
    }

    private static Play play(Load load, long hedgesPerMille, long seed) {
        Play play = new Play(load, hedgesPerMille, seed);
        play.play();
        System.out.printf(
                "hedge, %s, %d per mille, seed %d: p50 %.0f, p99 %.0f, p99.9 %.0f ms; %d hedges for %d requests%n",
                load,
                hedgesPerMille,
                seed,
                play.quantile(0.5),
                play.quantile(0.99),
                play.quantile(0.999),
                play.hedges,
                play.sentAt.size());
        return play;
    }

    @Test
    void should_answer_a_few_slow_servers_within_the_limit() {
        for (long seed = 1; seed <= 3; seed++) {
            // when
            Play without = play(Load.ONE_SLOW, 0, seed);
            Play hedged = play(Load.ONE_SLOW, HEDGES_PER_MILLE, seed);

            // then
            assertThat(without.hedges).isZero();
            assertThat(hedged.hedges).as("hedges, seed %d", seed).isLessThanOrEqualTo(hedged.allowedHedges());
            assertThat(hedged.quantile(0.99))
                    .as("99th percentile, seed %d", seed)
                    .isLessThan(without.quantile(0.99));
        }
    }

    @Test
    void should_not_add_load_to_a_shortage() {
        for (long seed = 1; seed <= 3; seed++) {
            // when
            Play slow = play(Load.ALL_SLOW, HEDGES_PER_MILLE, seed);
            Play overloaded = play(Load.OVERLOAD, HEDGES_PER_MILLE, seed);

            // then
            assertThat(slow.hedges).as("hedges, seed %d", seed).isLessThanOrEqualTo(slow.allowedHedges());
            assertThat(overloaded.hedges)
                    .as("hedges under overload, once the queues are known, seed %d", seed)
                    .isLessThanOrEqualTo(RESERVE);
        }
    }
}
