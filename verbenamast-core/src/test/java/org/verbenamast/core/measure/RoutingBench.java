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

/** Entry desks that send reads to fourteen fake members, some of which are slow for moments, on virtual time. */
final class RoutingBench {

    private static final ServiceSettings LIBRARY = new ServiceSettings(new ServiceName("library"), false, 1, 1, false);
    private static final int MEMBERS = 14;
    private static final int SLOTS = 10;
    private static final int ENTRIES = 4;
    private static final double MEAN_MILLIS = 5;
    private static final double LOAD = 0.5;
    private static final int SLOWDOWN = 10;
    private static final long SLOW_MILLIS = 1_000;
    private static final long WARM_UP_MILLIS = 1_000;
    private static final long RUN_MILLIS = 9_000;
    private static final long LINK_NANOS = Timing.nanos(1);

    private final Random random = new Random(20261204);
    private final PriorityQueue<Step> steps = new PriorityQueue<>();
    private final List<FakeMember> members = new ArrayList<>();
    private final List<RequestController> entries = new ArrayList<>();
    private final Map<RequestId, Long> arrived = new HashMap<>();
    private final List<Long> latencies = new ArrayList<>();
    private final int stragglers;
    private long now;
    private long lastStep;
    private long sequence;
    private long worked;
    private long unanswered;

    /** What was measured: latencies in milliseconds, and the work done for a hundred requests' worth of work. */
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
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(entry(i, policy));
        }
    }

    static Result measure(RoutePolicy policy, int stragglers) {
        RoutingBench bench = new RoutingBench(policy, stragglers);
        bench.run();
        return bench.result();
    }

    private RequestController entry(int number, RoutePolicy policy) {
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
        after(1, this::arrive);
        while (now < Timing.nanos(RUN_MILLIS)) {
            Step step = steps.poll();
            now = step.at();
            step.action().run();
        }
    }

    private void arrive() {
        int number = random.nextInt(ENTRIES);
        RequestId id = new RequestId(new MemberId("entry-" + number, 1), ++sequence);
        CallerRequest read =
                new CallerRequest(LIBRARY.name(), "", Method.GET, "/manual", List.of(), Body.EMPTY, "", "");
        arrived.put(id, now);
        RequestController desk = entries.get(number);
        desk.onCallerRequest(id, read, now + Timing.nanos(1_000), now, effect -> run(number, effect));
        wake(number);
        double gapMillis = MEAN_MILLIS / (MEMBERS * SLOTS * LOAD);
        after((long) (Timing.nanos(1) * gapMillis * -Math.log(1 - random.nextDouble())), this::arrive);
    }

    private void wake(int number) {
        RequestController desk = entries.get(number);
        long due = desk.nextDue();
        if (due < Timing.nanos(RUN_MILLIS)) {
            after(Math.max(1, due - now), () -> desk.advance(now, effect -> run(number, effect)));
        }
    }

    private void run(int entry, Effect effect) {
        if (effect instanceof Effect.ReplyToCaller reply) {
            told(reply);
        } else if (effect instanceof Effect.SendToPeer send) {
            FakeMember member = members.stream()
                    .filter(candidate -> candidate.id.equals(send.to()))
                    .findFirst()
                    .orElseThrow();
            after(LINK_NANOS, () -> member.take(entry, send.message()));
            wake(entry);
        }
    }

    private void told(Effect.ReplyToCaller reply) {
        long since = arrived.remove(reply.id());
        if (since < Timing.nanos(WARM_UP_MILLIS)) {
            return;
        }
        if (reply.outcome() instanceof RequestOutcome.Answered) {
            latencies.add(now - since);
        } else {
            unanswered++;
        }
    }

    private Result result() {
        long[] sorted = latencies.stream().mapToLong(Long::longValue).toArray();
        Arrays.sort(sorted);
        double work = 100.0 * worked / (sequence - arrived.size());
        return new Result(at(sorted, 0.5), at(sorted, 0.99), at(sorted, 0.999), work, unanswered);
    }

    private static double at(long[] sorted, double quantile) {
        return sorted[(int) (sorted.length * quantile)] / (double) Timing.NANOS_PER_MILLI;
    }

    private void after(long nanos, Runnable action) {
        steps.add(new Step(now + nanos, ++lastStep, action));
    }

    /** A member with its backend server: ten slots and a queue, slow for a second now and then. */
    private final class FakeMember {
        private final int number;
        private final MemberId id;
        private final Deque<Runnable> queue = new ArrayDeque<>();
        private int running;

        FakeMember(int number, MemberId id) {
            this.number = number;
            this.id = id;
        }

        void take(int entry, PeerMessage message) {
            if (message instanceof PeerMessage.Forward forward) {
                queue.add(() -> serve(entry, forward));
                next();
            }
        }

        private void next() {
            if (running < SLOTS && !queue.isEmpty()) {
                running++;
                queue.poll().run();
            }
        }

        private void serve(int entry, PeerMessage.Forward forward) {
            worked++;
            double millis = MEAN_MILLIS * (0.5 - 0.5 * Math.log(1 - random.nextDouble()));
            long nanos = (long) (millis * (slow() ? SLOWDOWN : 1) * Timing.NANOS_PER_MILLI);
            after(nanos, () -> {
                running--;
                next();
                RequestOutcome answer = new RequestOutcome.Answered(200, List.of(), Body.EMPTY);
                PeerMessage.Ended ended = new PeerMessage.Ended(forward.id(), forward.attempt(), answer);
                after(LINK_NANOS, () -> entries.get(entry)
                        .onAttemptEnded(id, ended, now, effect -> run(entry, effect)));
            });
        }

        /** Each second, other members are the slow ones. */
        private boolean slow() {
            long turn = now / Timing.nanos(SLOW_MILLIS);
            return Math.floorMod(number - turn * 3, MEMBERS) < stragglers;
        }
    }
}
