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

import org.junit.jupiter.api.Test;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.manifest.RequestKind;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.ServerIncarnation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays, on virtual time, uploads that ask for a tenth more than the narrow link of a host carries, and short requests
 * that arrive over the same link. Compares bodies that are sent once admission has accepted them with bodies that are
 * sent together with the request.
 */
class UploadMeasureTest {

    private static final ServerIncarnation INCARNATION = new ServerIncarnation("i-1", 1);
    private static final int SLOTS = 13;
    private static final double PLAYED_MILLIS = 30_000;
    private static final double WARM_UP_MILLIS = 5_000;
    private static final double ROUND_TRIP_MILLIS = 3;
    /** Most that the share of an urgent kind may lie below that of a less urgent one on the platform. */
    private static final double MOST_BEHIND_LESS_URGENT = 0.05;

    /** A kind of request. */
    private enum Load {
        UPLOAD(RequestKind.UPLOAD, 1, 270, 62, 1_300, 3_000, 1.1 / 62),
        CALL(RequestKind.SAFE, 0, 65, 0, 285, 890, 0.04);

        private final RequestKind kind;
        private final int priority;
        private final double serviceMillis;
        private final double bodyMillis;
        private final double objectiveMillis;
        private final double deadlineMillis;
        private final double perMilli;

        Load(
                RequestKind kind,
                int priority,
                double serviceMillis,
                double bodyMillis,
                double objectiveMillis,
                double deadlineMillis,
                double perMilli) {
            this.kind = kind;
            this.priority = priority;
            this.serviceMillis = serviceMillis;
            this.bodyMillis = bodyMillis;
            this.objectiveMillis = objectiveMillis;
            this.deadlineMillis = deadlineMillis;
            this.perMilli = perMilli;
        }
    }

    /** When a body is sent. */
    private enum Sending {
        ONCE_ACCEPTED,
        WITH_THE_REQUEST
    }

    private record Event(double at, long order, Runnable action) {}

    private record Sent(Load load, double at, double bodyMillis) {}

    /** One play; counts the requests that were answered in time. */
    private static final class Link {
        private final Sending sending;
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

        private Link(Sending sending, long seed) {
            this.sending = sending;
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

        private void schedule(double at, Runnable action) {
            events.add(new Event(at, ++last, action));
        }

        private void scheduleArrival(Load load) {
            schedule(clock - Math.log(1 - random.nextDouble()) / load.perMilli, () -> {
                send(load);
                scheduleArrival(load);
            });
        }

        private double drawMillis(double mean) {
            return mean * Math.exp(0.5 * random.nextGaussian() - 0.125);
        }

        private void send(Load load) {
            long id = ++last;
            Sent request = new Sent(load, clock, drawMillis(load.bodyMillis));
            sent.put(id, request);
            if (clock >= WARM_UP_MILLIS) {
                asked.merge(load, 1, Integer::sum);
            }
            schedule(Math.max(clock, linkFreeAt), () -> arrive(id, request));
            if (sending == Sending.WITH_THE_REQUEST) {
                linkFreeAt = Math.max(clock, linkFreeAt) + request.bodyMillis();
            }
        }

        private void arrive(long id, Sent sent) {
            Load load = sent.load();
            AdmissionRequest request = new AdmissionRequest(
                    id,
                    "attempt-" + id,
                    load.name(),
                    "s",
                    INCARNATION,
                    load.kind,
                    load.priority,
                    OptionalInt.empty(),
                    true,
                    nanos(),
                    nanos() + (long) ((sent.at() + load.objectiveMillis - clock) * Timing.NANOS_PER_MILLI),
                    nanos() + (long) ((sent.at() + load.deadlineMillis - clock) * Timing.NANOS_PER_MILLI));
            decide(effects -> controller.onRequest(request, nanos(), effects::add));
        }

        private void decide(Consumer<List<Effect>> decision) {
            List<Effect> effects = new ArrayList<>();
            decision.accept(effects);
            for (Effect effect : effects) {
                if (effect instanceof AdmissionEffect.Dispatch dispatch) {
                    begin(dispatch.id(), sent.get(dispatch.id()));
                }
            }
            double due = (double) controller.nextDue() / Timing.NANOS_PER_MILLI - 1_000;
            if (due > clock && due < PLAYED_MILLIS) {
                schedule(due, () -> decide(list -> controller.advance(nanos(), list::add)));
            }
        }

        private void begin(long id, Sent request) {
            double arrivedAt = clock;
            if (sending == Sending.ONCE_ACCEPTED && request.bodyMillis() > 0) {
                linkFreeAt = Math.max(clock + ROUND_TRIP_MILLIS, linkFreeAt) + request.bodyMillis();
                arrivedAt = linkFreeAt;
            } else if (request.bodyMillis() > 0) {
                arrivedAt = clock + request.bodyMillis();
            }
            schedule(arrivedAt, () -> {
                decide(effects -> controller.onBodyReceived(id, nanos(), effects::add));
                schedule(clock + drawMillis(request.load().serviceMillis), () -> answer(id, request));
            });
        }

        private void answer(long id, Sent request) {
            decide(effects -> controller.onFinished(id, ServerOutcome.ANSWERED, nanos(), effects::add));
            if (clock - request.at() <= request.load().objectiveMillis && request.at() >= WARM_UP_MILLIS) {
                inTime.merge(request.load(), 1, Integer::sum);
            }
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

    private static Link play(Sending sending, long seed) {
        Link link = new Link(sending, seed);
        link.play();
        System.out.printf(
                "upload, bodies %s, seed %d: uploads in time %.3f, calls in time %.3f%n",
                sending, seed, link.shareInTime(Load.UPLOAD), link.shareInTime(Load.CALL));
        return link;
    }

    @Test
    void should_keep_the_link_free_for_short_requests_when_uploads_exceed_it() {
        for (long seed = 1; seed <= 5; seed++) {
            // when
            Link accepted = play(Sending.ONCE_ACCEPTED, seed);
            Link together = play(Sending.WITH_THE_REQUEST, seed);

            // then
            for (Load load : Load.values()) {
                assertThat(accepted.shareInTime(load))
                        .as("share of %s in time, seed %d", load, seed)
                        .isGreaterThan(together.shareInTime(load));
            }
            assertThat(accepted.shareInTime(Load.CALL))
                    .as("share of calls, which are more urgent, in time, seed %d", seed)
                    .isGreaterThan(accepted.shareInTime(Load.UPLOAD) - MOST_BEHIND_LESS_URGENT);
        }
    }
}
