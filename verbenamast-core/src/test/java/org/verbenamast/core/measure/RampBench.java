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

/** Simulates a queue before a backend server whose capacity is low until it has answered some requests. */
final class RampBench {

    private static final MemberId SELF = new MemberId("visit-0", 1);
    private static final int SLOTS = 10;
    private static final int COLD_CAPACITY = 2;
    private static final int ANSWERS_TO_WARM = 30;
    private static final double MEAN_SERVICE_MILLIS = 20;
    private static final double UTILIZATION = 0.8;
    private static final long ANNOUNCE_INTERVAL_MILLIS = 200;
    private static final long DURATION_MILLIS = 20_000;
    private static final Effects NO_EFFECTS = effect -> {};

    private final Random random = new Random(20261204);
    private final ServerLimitController controller;
    private final PriorityQueue<Step> steps = new PriorityQueue<>();
    private final Deque<RequestId> queue = new ArrayDeque<>();
    private final long coldAgainAt;
    private final boolean restarts;
    private int answersSinceCold;
    private int startNumber;
    private long now;
    private long lastStepNumber;
    private long lastRequestNumber;
    private int peakExcess;
    private int startsOverCapacity;
    private int peakRunning;
    private long answered;

    /** How far the load of the backend server exceeded its capacity, and how many requests it answered. */
    record Result(int peakRunning, int peakExcess, int startsOverCapacity, long answered, int limitAtEnd) {}

    private record Step(long at, long number, Runnable action) implements Comparable<Step> {
        @Override
        public int compareTo(Step other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    private RampBench(RampSettings settings, long coldAgainMillis, boolean restarts) {
        this.controller = new ServerLimitController(SELF, settings, TransitionListener.NONE);
        this.coldAgainAt = Timing.millisToNanos(coldAgainMillis);
        this.restarts = restarts;
    }

    /** Simulates a backend server that starts cold and becomes cold again, either after a restart or without notice. */
    static Result measure(RampSettings settings, long coldAgainMillis, boolean restarts) {
        RampBench bench = new RampBench(settings, coldAgainMillis, restarts);
        bench.run();
        return new Result(
                bench.peakRunning,
                bench.peakExcess,
                bench.startsOverCapacity,
                bench.answered,
                bench.controller.limit());
    }

    private void run() {
        schedule(0, this::announce);
        schedule(1, this::arrive);
        schedule(coldAgainAt, this::becomeCold);
        while (!steps.isEmpty() && steps.peek().at() < Timing.millisToNanos(DURATION_MILLIS)) {
            Step step = steps.poll();
            now = step.at();
            step.action().run();
            admit();
        }
    }

    private void announce() {
        Address address = new Address("127.0.0.1", 1);
        controller.onAnnouncement(
                new ServerAnnouncement(new ServiceName("visit"), address, "start-" + startNumber, SLOTS, 0, false),
                now,
                NO_EFFECTS);
        schedule(Timing.millisToNanos(ANNOUNCE_INTERVAL_MILLIS), this::announce);
    }

    private void becomeCold() {
        answersSinceCold = 0;
        if (restarts) {
            startNumber++;
            controller.onAnnouncement(
                    new ServerAnnouncement(
                            new ServiceName("visit"),
                            new Address("127.0.0.1", 1),
                            "start-" + startNumber,
                            SLOTS,
                            0,
                            false),
                    now,
                    NO_EFFECTS);
        }
    }

    private void arrive() {
        queue.add(new RequestId(SELF, ++lastRequestNumber));
        double meanGapMillis = MEAN_SERVICE_MILLIS / (SLOTS * UTILIZATION);
        schedule((long) (Timing.millisToNanos(1) * meanGapMillis * -Math.log(1 - random.nextDouble())), this::arrive);
    }

    private void admit() {
        controller.detectSlowdown(now, NO_EFFECTS);
        while (controller.hasSlot() && !queue.isEmpty()) {
            start(queue.poll());
        }
    }

    private void start(RequestId id) {
        controller.onCallStarted(id, now);
        int excess = Math.max(0, controller.running() - capacity());
        peakRunning = Math.max(peakRunning, controller.running());
        peakExcess = Math.max(peakExcess, excess);
        startsOverCapacity += excess > 0 ? 1 : 0;
        double millis = MEAN_SERVICE_MILLIS * (0.5 - 0.5 * Math.log(1 - random.nextDouble())) * (1 + excess);
        schedule((long) (millis * Timing.NANOS_PER_MILLI), () -> {
            answersSinceCold++;
            answered++;
            controller.onCallEnded(id, ServerReplyKind.ANSWERED, now, NO_EFFECTS);
        });
    }

    private int capacity() {
        return answersSinceCold < ANSWERS_TO_WARM ? COLD_CAPACITY : SLOTS;
    }

    private void schedule(long nanos, Runnable action) {
        steps.add(new Step(now + nanos, ++lastStepNumber, action));
    }
}
