package org.verbenamast.core.measure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.gate.crash.SuspectController;
import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.membership.MemberStatus;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.CoreSettings;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.request.Body;
import org.verbenamast.core.request.CallerRequest;
import org.verbenamast.core.request.DirectoryRouter;
import org.verbenamast.core.request.Method;
import org.verbenamast.core.request.RequestController;
import org.verbenamast.core.request.RequestOutcome;
import org.verbenamast.core.request.RoutePolicy;
import org.verbenamast.core.store.Row;

/** Simulates entry nodes that send reads to fourteen members, some of which are slow for one second at a time. */
final class RoutingBench {

    private static final ServiceSettings LIBRARY = new ServiceSettings(new ServiceName("library"), false, 1, 1, false);
    private static final int MEMBERS = 14;
    private static final int SLOTS = 10;
    private static final int ENTRY_NODES = 4;
    private static final double MEAN_SERVICE_MILLIS = 5;
    private static final double UTILIZATION = 0.5;
    private static final int SLOWDOWN_FACTOR = 10;
    private static final long SLOW_PERIOD_MILLIS = 1_000;
    private static final long WARM_UP_MILLIS = 1_000;
    private static final long DURATION_MILLIS = 9_000;
    private static final long LINK_LATENCY_NANOS = Timing.millisToNanos(1);

    private final Random random = new Random(20261204);
    private final PriorityQueue<Step> steps = new PriorityQueue<>();
    private final List<FakeMember> members = new ArrayList<>();
    private final List<RequestController> entryNodes = new ArrayList<>();
    private final Map<RequestId, Long> arrivalTimes = new HashMap<>();
    private final List<Long> latencies = new ArrayList<>();
    private final int stragglers;
    private long now;
    private long lastStepNumber;
    private long lastRequestNumber;
    private long executions;
    private long unanswered;

    /** Latency quantiles in milliseconds, executions per hundred requests, and the number of unanswered requests. */
    record Result(double p50, double p99, double p999, double workPercent, long unanswered) {}

    private record Step(long at, long number, Runnable action) implements Comparable<Step> {
        @Override
        public int compareTo(Step other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    private RoutingBench(RoutePolicy policy, int stragglers) {
        this.stragglers = stragglers;
        for (int i = 0; i < MEMBERS; i++) {
            members.add(new FakeMember(i, new MemberId("library-" + i, 1)));
        }
        for (int i = 0; i < ENTRY_NODES; i++) {
            entryNodes.add(entryNode(i, policy));
        }
    }

    static Result measure(RoutePolicy policy, int stragglers) {
        RoutingBench bench = new RoutingBench(policy, stragglers);
        bench.run();
        return bench.result();
    }

    private RequestController entryNode(int number, RoutePolicy policy) {
        CoreSettings settings = new CoreSettings(
                new MemberId("entry-" + number, 1),
                LIBRARY.name(),
                new Zone("jkt"),
                new Address("127.0.0.1", 1),
                List.of(LIBRARY),
                List.of(),
                Timing.DEFAULT,
                0,
                number);
        Directory directory = new Directory(List.of(LIBRARY));
        members.forEach(member -> directory.apply(row(member.id)));
        SuspectController suspects = new SuspectController(settings.self(), directory, TransitionListener.NONE);
        DirectoryRouter router = new DirectoryRouter(settings, directory, suspects, policy, TransitionListener.NONE);
        return new RequestController(settings, router, TransitionListener.NONE);
    }

    private static Row row(MemberId id) {
        Address peer = new Address("127.0.0.1", 1);
        MemberRow member = new MemberRow(
                id, LIBRARY.name(), new Zone("jkt"), peer, MemberStatus.ACTIVE, List.of(), "start", SLOTS, "op");
        return new Row(MemberRow.keyOf(id), 1, member);
    }

    private void run() {
        schedule(1, this::arrive);
        while (now < Timing.millisToNanos(DURATION_MILLIS)) {
            Step step = steps.poll();
            now = step.at();
            step.action().run();
        }
    }

    private void arrive() {
        int number = random.nextInt(ENTRY_NODES);
        RequestId id = new RequestId(new MemberId("entry-" + number, 1), ++lastRequestNumber);
        CallerRequest read =
                new CallerRequest(LIBRARY.name(), "", Method.GET, "/manual", List.of(), Body.EMPTY, "", "");
        arrivalTimes.put(id, now);
        RequestController controller = entryNodes.get(number);
        controller.onCallerRequest(id, read, now + Timing.millisToNanos(1_000), now, effect -> run(number, effect));
        scheduleWakeUp(number);
        double meanGapMillis = MEAN_SERVICE_MILLIS / (MEMBERS * SLOTS * UTILIZATION);
        schedule((long) (Timing.millisToNanos(1) * meanGapMillis * -Math.log(1 - random.nextDouble())), this::arrive);
    }

    private void scheduleWakeUp(int number) {
        RequestController controller = entryNodes.get(number);
        long due = controller.nextDue();
        if (due < Timing.millisToNanos(DURATION_MILLIS)) {
            schedule(Math.max(1, due - now), () -> controller.advance(now, effect -> run(number, effect)));
        }
    }

    private void run(int entryNode, Effect effect) {
        if (effect instanceof Effect.ReplyToCaller reply) {
            onReply(reply);
        } else if (effect instanceof Effect.SendToPeer send) {
            FakeMember member = members.stream()
                    .filter(candidate -> candidate.id.equals(send.to()))
                    .findFirst()
                    .orElseThrow();
            schedule(LINK_LATENCY_NANOS, () -> member.onMessage(entryNode, send.message()));
            scheduleWakeUp(entryNode);
        }
    }

    private void onReply(Effect.ReplyToCaller reply) {
        long arrivalTime = arrivalTimes.remove(reply.id());
        if (arrivalTime < Timing.millisToNanos(WARM_UP_MILLIS)) {
            return;
        }
        if (reply.outcome() instanceof RequestOutcome.Answered) {
            latencies.add(now - arrivalTime);
        } else {
            unanswered++;
        }
    }

    private Result result() {
        long[] sorted = latencies.stream().mapToLong(Long::longValue).toArray();
        Arrays.sort(sorted);
        double workPercent = 100.0 * executions / (lastRequestNumber - arrivalTimes.size());
        return new Result(
                quantile(sorted, 0.5), quantile(sorted, 0.99), quantile(sorted, 0.999), workPercent, unanswered);
    }

    private static double quantile(long[] sorted, double quantile) {
        return sorted[(int) (sorted.length * quantile)] / (double) Timing.NANOS_PER_MILLI;
    }

    private void schedule(long nanos, Runnable action) {
        steps.add(new Step(now + nanos, ++lastStepNumber, action));
    }

    /** A member with its backend server, which has ten slots and a queue and is slow for one second at a time. */
    private final class FakeMember {
        private final int index;
        private final MemberId id;
        private final Deque<Runnable> queue = new ArrayDeque<>();
        private int running;

        FakeMember(int number, MemberId id) {
            this.index = number;
            this.id = id;
        }

        void onMessage(int entryNode, PeerMessage message) {
            if (message instanceof PeerMessage.Forward forward) {
                queue.add(() -> execute(entryNode, forward));
                startQueued();
            }
        }

        private void startQueued() {
            if (running < SLOTS && !queue.isEmpty()) {
                running++;
                queue.poll().run();
            }
        }

        private void execute(int entryNode, PeerMessage.Forward forward) {
            executions++;
            double millis = MEAN_SERVICE_MILLIS * (0.5 - 0.5 * Math.log(1 - random.nextDouble()));
            long nanos = (long) (millis * (isSlow() ? SLOWDOWN_FACTOR : 1) * Timing.NANOS_PER_MILLI);
            schedule(nanos, () -> {
                running--;
                startQueued();
                RequestOutcome answer = new RequestOutcome.Answered(200, List.of(), Body.EMPTY);
                PeerMessage.Ended ended = new PeerMessage.Ended(forward.id(), forward.attempt(), answer);
                schedule(LINK_LATENCY_NANOS, () -> entryNodes
                        .get(entryNode)
                        .onAttemptEnded(id, ended, now, effect -> run(entryNode, effect)));
            });
        }

        /** Returns whether this member is slow now; the slow members change every second. */
        private boolean isSlow() {
            long period = now / Timing.millisToNanos(SLOW_PERIOD_MILLIS);
            return Math.floorMod(index - period * 3, MEMBERS) < stragglers;
        }
    }
}
