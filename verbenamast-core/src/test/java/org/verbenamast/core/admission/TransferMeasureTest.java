package org.verbenamast.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.manifest.RequestKind;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.ServerIncarnation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays, on virtual time, a server whose large answers fill the link of its host: senders ask for a fifth more than the
 * link carries, and for short answers of the same server that wait behind the large ones on the link.
 */
class TransferMeasureTest {

    private static final ServerIncarnation INCARNATION = new ServerIncarnation("i-1", 1);
    private static final int SLOTS = 4;
    private static final double PLAYED_MILLIS = 30_000;
    private static final double WARM_UP_MILLIS = 5_000;
    /** Largest share of requests that the platform lets go unserved. */
    private static final double MOST_UNSERVED_SHARE = 0.6;
    /** Most that the share of an urgent kind may lie below that of a less urgent one on the platform. */
    private static final double MOST_BEHIND_LESS_URGENT = 0.15;

    /** A kind of request, with the mean times that the server and the link take for it. */
    private enum Load {
        LARGE(RequestKind.DOWNLOAD, 2, 130, 103, 1_000, 2_500, 0.2 + 1),
        SHORT(RequestKind.SAFE, 0, 40, 1, 200, 650, 0.2);

        private final RequestKind kind;
        private final int priority;
        private final double serviceMillis;
        private final double transferMillis;
        private final double objectiveMillis;
        private final double deadlineMillis;
        private final double perMilli;

        Load(
                RequestKind kind,
                int priority,
                double serviceMillis,
                double transferMillis,
                double objectiveMillis,
                double deadlineMillis,
                double capacityShare) {
            this.kind = kind;
            this.priority = priority;
            this.serviceMillis = serviceMillis;
            this.transferMillis = transferMillis;
            this.objectiveMillis = objectiveMillis;
            this.deadlineMillis = deadlineMillis;
            this.perMilli = capacityShare / Math.max(transferMillis, serviceMillis / SLOTS);
        }
    }

    /** When the controller learns that a sender has received an answer. */
    private enum Receipts {
        REPORTED,
        /** As soon as the server has answered, as if the link took no time. */
        ASSUMED
    }

    private record Event(double at, long order, Runnable action) {}

    private record Sent(Load load, double at) {}

    /** One play; counts the requests that were answered in time. */
    private static final class Link {
        private final Receipts receipts;
        private final boolean lastChance;
        private final Random random;
        private final AdmissionController controller =
                new AdmissionController(new AllPermitted(), TransitionListener.NONE);
        private final PriorityQueue<Event> events = new PriorityQueue<>(
                (a, b) -> a.at() == b.at() ? Long.compare(a.order(), b.order()) : Double.compare(a.at(), b.at()));
        private final Map<Long, Sent> sent = new HashMap<>();
        private final Map<Load, Integer> asked = new HashMap<>();
        private final Map<Load, Integer> inTime = new HashMap<>();
        private double clock;
        private double linkFreeAt;
        private long last;

        private Link(Receipts receipts, boolean lastChance, long seed) {
            this.receipts = receipts;
            this.lastChance = lastChance;
            random = new Random(seed);
            ServerStatus status = new ServerStatus(INCARNATION, "s", SLOTS, 0, 0, 0);
            controller.onServerStatus(Optional.of(status), nanos(), effect -> {});
            for (Load load : Load.values()) {
                scheduleArrival(load);
            }
        }

        private long nanos() {
            return (long) ((clock + 1_000) * Timing.NANOS_PER_MILLI);
        }

        private void schedule(double inMillis, Runnable action) {
            events.add(new Event(clock + inMillis, ++last, action));
        }

        private void scheduleArrival(Load load) {
            schedule(-Math.log(1 - random.nextDouble()) / load.perMilli, () -> {
                arrive(load);
                scheduleArrival(load);
            });
        }

        private double drawMillis(double mean) {
            return mean * Math.exp(0.5 * random.nextGaussian() - 0.125);
        }

        private void arrive(Load load) {
            long id = ++last;
            sent.put(id, new Sent(load, clock));
            if (clock >= WARM_UP_MILLIS) {
                asked.merge(load, 1, Integer::sum);
            }
            AdmissionRequest request = new AdmissionRequest(
                    id,
                    "attempt-" + id,
                    load.name(),
                    "s",
                    INCARNATION,
                    load.kind,
                    load.priority,
                    OptionalInt.empty(),
                    lastChance,
                    nanos(),
                    nanos() + (long) (load.objectiveMillis * Timing.NANOS_PER_MILLI),
                    nanos() + (long) (load.deadlineMillis * Timing.NANOS_PER_MILLI));
            schedule(load.deadlineMillis + 1, () -> decide(effects -> controller.advance(nanos(), effects::add)));
            decide(effects -> controller.onRequest(request, nanos(), effects::add));
        }

        private void decide(Consumer<List<Effect>> decision) {
            List<Effect> effects = new ArrayList<>();
            decision.accept(effects);
            for (Effect effect : effects) {
                if (effect instanceof AdmissionEffect.Dispatch dispatch) {
                    Load load = sent.get(dispatch.id()).load();
                    schedule(drawMillis(load.serviceMillis), () -> answer(dispatch.id()));
                }
            }
        }

        private void answer(long id) {
            Sent request = sent.get(id);
            double transferMillis = drawMillis(request.load().transferMillis);
            linkFreeAt = Math.max(clock, linkFreeAt) + transferMillis;
            decide(effects -> controller.onFinished(id, ServerOutcome.ANSWERED, nanos(), effects::add));
            if (receipts == Receipts.ASSUMED) {
                decide(effects -> controller.onReceived(id, nanos(), effects::add));
            }
            schedule(linkFreeAt - clock, () -> {
                boolean isInTime = clock - request.at() <= request.load().objectiveMillis;
                if (isInTime && request.at() >= WARM_UP_MILLIS) {
                    inTime.merge(request.load(), 1, Integer::sum);
                }
                decide(effects -> controller.onReceived(id, nanos(), effects::add));
            });
        }

        private void play() {
            while (events.peek().at() < PLAYED_MILLIS) {
                Event event = events.poll();
                clock = event.at();
                event.action().run();
            }
        }

        private double shareInTime(Load load) {
            return (double) inTime.getOrDefault(load, 0) / asked.get(load);
        }
    }

    private static final class AllPermitted implements AdmissionRules {
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
            return true;
        }

        @Override
        public boolean isSuspect(long id, long now) {
            return false;
        }
    }

    private static Link play(Receipts receipts, boolean lastChance, long seed) {
        Link link = new Link(receipts, lastChance, seed);
        link.play();
        System.out.printf(
                "transfer, receipts %s, last chance %s, seed %d: large in time %.3f, short in time %.3f%n",
                receipts, lastChance, seed, link.shareInTime(Load.LARGE), link.shareInTime(Load.SHORT));
        return link;
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void should_keep_the_link_free_for_short_answers_when_large_ones_exceed_it(boolean lastChance) {
        for (long seed = 1; seed <= 5; seed++) {
            // when
            Link controlled = play(Receipts.REPORTED, lastChance, seed);
            Link assumed = play(Receipts.ASSUMED, lastChance, seed);

            // then
            for (Load load : Load.values()) {
                assertThat(controlled.shareInTime(load))
                        .as("share of %s answers in time, seed %d", load, seed)
                        .isGreaterThan(assumed.shareInTime(load))
                        .isGreaterThan(1 - MOST_UNSERVED_SHARE);
            }
            assertThat(controlled.shareInTime(Load.SHORT))
                    .as("share of short answers, which are more urgent, in time, seed %d", seed)
                    .isGreaterThan(controlled.shareInTime(Load.LARGE) - MOST_BEHIND_LESS_URGENT);
        }
    }
}
