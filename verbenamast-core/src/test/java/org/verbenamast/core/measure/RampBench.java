package org.verbenamast.core.measure;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.PriorityQueue;
import java.util.Random;

import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.gate.ServerReplyKind;
import org.verbenamast.core.gate.limit.RampSettings;
import org.verbenamast.core.gate.limit.ServerLimitController;
import org.verbenamast.core.membership.ServerAnnouncement;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.node.Timing;

/** A queue before a backend server that bears little until it has answered some requests, on virtual time. */
final class RampBench {

    private static final MemberId SELF = new MemberId("visit-0", 1);
    private static final int SLOTS = 10;
    private static final int COLD_BEARS = 2;
    private static final int ANSWERS_TO_WARM = 30;
    private static final double MEAN_MILLIS = 20;
    private static final double LOAD = 0.8;
    private static final long ANNOUNCE_MILLIS = 200;
    private static final long RUN_MILLIS = 20_000;
    private static final Effects NO_EFFECTS = effect -> {};

    private final Random random = new Random(20261204);
    private final ServerLimitController desk;
    private final PriorityQueue<Step> steps = new PriorityQueue<>();
    private final Deque<RequestId> queue = new ArrayDeque<>();
    private final long turnsColdAt;
    private final boolean restarts;
    private int warmth;
    private int starts;
    private long now;
    private long lastStep;
    private long sequence;
    private int peakOverBearing;
    private int startsOverBearing;
    private int peak;
    private long answered;

    /** How far above what it bears the backend server was loaded, and how much it did. */
    record Result(int peak, int peakOverBearing, int startsOverBearing, long answered, int limitAtEnd) {}

    private record Step(long at, long number, Runnable action) implements Comparable<Step> {
        @Override
        public int compareTo(Step other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    private RampBench(RampSettings settings, long turnsColdMillis, boolean restarts) {
        this.desk = new ServerLimitController(SELF, settings, TransitionListener.NONE);
        this.turnsColdAt = Timing.nanos(turnsColdMillis);
        this.restarts = restarts;
    }

    /** Measures a backend server that is cold at first and turns cold again, with a new start id or without. */
    static Result measure(RampSettings settings, long turnsColdMillis, boolean restarts) {
        RampBench bench = new RampBench(settings, turnsColdMillis, restarts);
        bench.run();
        return new Result(
                bench.peak, bench.peakOverBearing, bench.startsOverBearing, bench.answered, bench.desk.limit());
    }

    private void run() {
        after(0, this::announce);
        after(1, this::arrive);
        after(turnsColdAt, this::turnCold);
        while (!steps.isEmpty() && steps.peek().at() < Timing.nanos(RUN_MILLIS)) {
            Step step = steps.poll();
            now = step.at();
            step.action().run();
            admit();
        }
    }

    private void announce() {
        Address address = new Address("127.0.0.1", 1);
        desk.onAnnouncement(
                new ServerAnnouncement(new ServiceName("visit"), address, "start-" + starts, SLOTS, 0, false),
                now,
                NO_EFFECTS);
        after(Timing.nanos(ANNOUNCE_MILLIS), this::announce);
    }

    private void turnCold() {
        warmth = 0;
        if (restarts) {
            starts++;
            desk.onAnnouncement(
                    new ServerAnnouncement(
                            new ServiceName("visit"), new Address("127.0.0.1", 1), "start-" + starts, SLOTS, 0, false),
                    now,
                    NO_EFFECTS);
        }
    }

    private void arrive() {
        queue.add(new RequestId(SELF, ++sequence));
        double gapMillis = MEAN_MILLIS / (SLOTS * LOAD);
        after((long) (Timing.nanos(1) * gapMillis * -Math.log(1 - random.nextDouble())), this::arrive);
    }

    private void admit() {
        desk.detectSlowdown(now, NO_EFFECTS);
        while (desk.hasSlot() && !queue.isEmpty()) {
            start(queue.poll());
        }
    }

    private void start(RequestId id) {
        desk.onCallStarted(id, now);
        int over = Math.max(0, desk.running() - bears());
        peak = Math.max(peak, desk.running());
        peakOverBearing = Math.max(peakOverBearing, over);
        startsOverBearing += over > 0 ? 1 : 0;
        double millis = MEAN_MILLIS * (0.5 - 0.5 * Math.log(1 - random.nextDouble())) * (1 + over);
        after((long) (millis * Timing.NANOS_PER_MILLI), () -> {
            warmth++;
            answered++;
            desk.onCallEnded(id, ServerReplyKind.ANSWERED, now, NO_EFFECTS);
        });
    }

    private int bears() {
        return warmth < ANSWERS_TO_WARM ? COLD_BEARS : SLOTS;
    }

    private void after(long nanos, Runnable action) {
        steps.add(new Step(now + nanos, ++lastStep, action));
    }
}
