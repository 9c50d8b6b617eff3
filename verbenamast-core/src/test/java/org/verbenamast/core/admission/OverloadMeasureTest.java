package org.verbenamast.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.manifest.RequestKind;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.ServerIncarnation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays, on virtual time, the load of a server that alone has the keys of a busy service: half as many requests again
 * as it can run, each with no other server to ask. Compares what callers get with a plain queue, in the order of
 * arrival, that refuses nothing before its deadline.
 */
class OverloadMeasureTest {

    private static final ServerIncarnation INCARNATION = new ServerIncarnation("i-1", 1);
    private static final int SLOTS = 9;
    private static final double SERVICE_MILLIS = 120;
    private static final long OBJECTIVE_MILLIS = 300;
    private static final long DEADLINE_MILLIS = 2_000;
    private static final double LOAD = 1.5;
    private static final long PLAYED_MILLIS = 30_000;
    /** The times at which the first requests find a server without a queue are left out, in milliseconds. */
    private static final long WARM_UP_MILLIS = 5_000;
    /** The requests that the server can run in the time that is looked at. */
    private static final double CAPACITY = SLOTS * (PLAYED_MILLIS - WARM_UP_MILLIS) / SERVICE_MILLIS;
    /** The platform counts a refusal as early up to this part of the objective. */
    private static final long EARLY_MILLIS = OBJECTIVE_MILLIS / 8;

    private static final AdmissionRules ALL_GRANTED = new AdmissionRules() {
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
    };

    /** What callers got, as counts of requests. */
    private record Outcome(int asked, int inTime, int late, int refusedEarly, int refusedLate, double heldMillis) {}

    private record Arrival(long at, double serviceMillis) {}

    private record Finish(long at, long id) {}

    private static List<Arrival> arrivals(long seed) {
        Random random = new Random(seed);
        List<Arrival> arrivals = new ArrayList<>();
        double perMilli = LOAD * SLOTS / SERVICE_MILLIS;
        double at = 0;
        while (at < PLAYED_MILLIS) {
            at += -Math.log(1 - random.nextDouble()) / perMilli;
            double spread = Math.exp(0.5 * random.nextGaussian() - 0.125);
            arrivals.add(new Arrival(Timing.millisToNanos(1) * Math.round(at), SERVICE_MILLIS * spread));
        }
        return arrivals;
    }

    private static Outcome playController(List<Arrival> arrivals) {
        AdmissionController controller = new AdmissionController(ALL_GRANTED, TransitionListener.NONE);
        List<Effect> effects = new ArrayList<>();
        controller.onServerStatus(Optional.of(new ServerStatus(INCARNATION, "s", SLOTS, 0, 0, 0)), 0, effects::add);
        PriorityQueue<Finish> finishes = new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
        Map<Long, Long> ended = new HashMap<>();
        Map<Long, Long> refused = new HashMap<>();
        int next = 0;
        long now = 0;
        while (next < arrivals.size() || !finishes.isEmpty()) {
            long arrivalAt = next < arrivals.size() ? arrivals.get(next).at() : Long.MAX_VALUE;
            long finishAt =
                    finishes.isEmpty() ? Long.MAX_VALUE : finishes.peek().at();
            long timerAt = Math.max(now + 1, controller.nextDue());
            now = Math.min(arrivalAt, Math.min(finishAt, timerAt));
            if (now == finishAt) {
                Finish finish = finishes.poll();
                ended.put(finish.id(), now);
                controller.onFinished(finish.id(), ServerOutcome.ANSWERED, now, effects::add);
            } else if (now == arrivalAt) {
                controller.onRequest(request(next, now), now, effects::add);
                next++;
            } else {
                controller.advance(now, effects::add);
            }
            for (Effect effect : effects) {
                if (effect instanceof AdmissionEffect.Dispatch dispatch) {
                    double millis = arrivals.get((int) dispatch.id()).serviceMillis();
                    finishes.add(new Finish(now + (long) (millis * Timing.NANOS_PER_MILLI), dispatch.id()));
                } else if (effect instanceof AdmissionEffect.Refuse refuse) {
                    refused.put(refuse.id(), now);
                }
            }
            effects.clear();
        }
        return outcome(arrivals, ended, refused);
    }

    private static AdmissionRequest request(long id, long now) {
        return new AdmissionRequest(
                id,
                "attempt-" + id,
                "route",
                "s",
                INCARNATION,
                RequestKind.SAFE,
                1,
                OptionalInt.of(7),
                true,
                now,
                now + Timing.millisToNanos(OBJECTIVE_MILLIS),
                now + Timing.millisToNanos(DEADLINE_MILLIS));
    }

    private static Outcome playPlainQueue(List<Arrival> arrivals) {
        PriorityQueue<Long> freeAt = new PriorityQueue<>();
        for (int slot = 0; slot < SLOTS; slot++) {
            freeAt.add(0L);
        }
        Map<Long, Long> ended = new HashMap<>();
        Map<Long, Long> refused = new HashMap<>();
        for (int id = 0; id < arrivals.size(); id++) {
            long at = arrivals.get(id).at();
            long start = Math.max(at, freeAt.peek());
            long deadline = at + Timing.millisToNanos(DEADLINE_MILLIS);
            if (start >= deadline) {
                refused.put((long) id, deadline);
                continue;
            }
            long end = start + (long) (arrivals.get(id).serviceMillis() * Timing.NANOS_PER_MILLI);
            freeAt.poll();
            freeAt.add(Math.min(end, deadline));
            (end > deadline ? refused : ended).put((long) id, Math.min(end, deadline));
        }
        return outcome(arrivals, ended, refused);
    }

    private static Outcome outcome(List<Arrival> arrivals, Map<Long, Long> ended, Map<Long, Long> refused) {
        int asked = 0;
        int inTime = 0;
        int late = 0;
        int early = 0;
        int refusedLate = 0;
        double held = 0;
        for (int id = 0; id < arrivals.size(); id++) {
            long at = arrivals.get(id).at();
            if (at < Timing.millisToNanos(WARM_UP_MILLIS)) {
                continue;
            }
            asked++;
            if (ended.containsKey((long) id)) {
                boolean onTime = ended.get((long) id) - at <= Timing.millisToNanos(OBJECTIVE_MILLIS);
                inTime += onTime ? 1 : 0;
                late += onTime ? 0 : 1;
            } else {
                double millis = (double) (refused.get((long) id) - at) / Timing.NANOS_PER_MILLI;
                early += millis <= EARLY_MILLIS ? 1 : 0;
                refusedLate += millis <= EARLY_MILLIS ? 0 : 1;
                held += millis;
            }
        }
        return new Outcome(asked, inTime, late, early, refusedLate, held / Math.max(1, early + refusedLate));
    }

    @Test
    void should_serve_what_fits_in_time_and_refuse_the_rest_at_once_when_a_server_is_overloaded() {
        for (long seed = 1; seed <= 5; seed++) {
            // when
            List<Arrival> arrivals = arrivals(seed);
            Outcome controlled = playController(arrivals);
            Outcome plain = playPlainQueue(arrivals);
            System.out.println("overload seed " + seed + ": controller " + controlled + ", plain queue " + plain);

            // then
            assertThat(controlled.inTime() + controlled.late())
                    .as("served, of a capacity of %.0f", CAPACITY)
                    .isGreaterThan((int) (0.95 * CAPACITY));
            assertThat(controlled.inTime()).as("in time").isGreaterThan(2 * plain.inTime());
            assertThat(controlled.refusedLate())
                    .as("refused later than %d ms", EARLY_MILLIS)
                    .isLessThan(controlled.refusedEarly());
        }
    }
}
