package org.verbenamast.core.ownership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.membership.MemberStatus;
import org.verbenamast.core.membership.Rows;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.model.SliceId;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.StoreReply;

/** The owners of one service on virtual time: who admits which slice, and for how long nobody does. */
final class OwnerFleet {

    private static final Duration STEP = Duration.ofMillis(10);
    private static final long STORE_NANOS = Duration.ofMillis(5).toNanos();
    private static final long PUSH_NANOS = Duration.ofMillis(2).toNanos();
    private static final long SPREAD_NANOS = Duration.ofMillis(500).toNanos();
    private static final long REPORT_STEPS = 50;

    private final ServiceSettings service;
    private final OwnershipRules rules;
    private final StoreFake store = new StoreFake();
    private final List<OwnerNode> nodes = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Random random;
    private double[] rates;
    private double[] due;
    private long now = STEP.toNanos();
    private long steps;
    private long sequence;
    private long unservedSteps;
    private int twice;

    OwnerFleet(ServiceSettings service, OwnershipRules rules, long seed) {
        this.service = service;
        this.rules = rules;
        this.random = new Random(seed);
        this.rates = new double[service.slices()];
        this.due = new double[service.slices()];
    }

    long now() {
        return now;
    }

    StoreFake store() {
        return store;
    }

    List<OwnerNode> nodes() {
        return nodes;
    }

    OwnerNode join() {
        OwnerNode node = new OwnerNode(Rows.member(nodes.size()), service, rules, this);
        nodes.add(node);
        store.rows().forEach(row -> node.learn(row, now, effect -> run(node, effect)));
        status(node, MemberStatus.ACTIVE, 1);
        return node;
    }

    void leave(OwnerNode node) {
        status(node, MemberStatus.LEAVING, 2);
    }

    /** Stops a node at once; its end is known after the time that a take-over needs. */
    void lose(OwnerNode node, Duration noticed) {
        node.stop();
        at(now + noticed.toNanos(), () -> status(node, MemberStatus.ENDED, 2));
    }

    private void status(OwnerNode node, MemberStatus status, long version) {
        Row row = store.put(Rows.memberRow(node.id(), status, version));
        node.learn(row, now, effect -> run(node, effect));
        spread(row);
    }

    void spread(Row row) {
        for (OwnerNode node : nodes) {
            long delay = random.nextLong(SPREAD_NANOS);
            at(now + delay, () -> node.learn(row, now, effect -> run(node, effect)));
        }
    }

    void rate(int slice, double perSecond) {
        rates[slice] = perSecond;
    }

    void runFor(Duration time) {
        long until = now + time.toNanos();
        while (now < until) {
            now += STEP.toNanos();
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.poll().action().run();
            }
            nodes.stream().filter(OwnerNode::alive).forEach(node -> node.advance(now, effect -> run(node, effect)));
            serve();
            if (steps++ % REPORT_STEPS == 0) {
                report();
            }
        }
    }

    private void serve() {
        for (int number = 0; number < service.slices(); number++) {
            SliceId slice = new SliceId(service.name(), number);
            List<OwnerNode> admitting = nodes.stream()
                    .filter(node -> node.ownership().admits(slice, now))
                    .toList();
            twice += admitting.size() > 1 ? 1 : 0;
            if (admitting.isEmpty()) {
                unservedSteps++;
            } else {
                request(number, slice, admitting.get(0));
            }
        }
    }

    private void request(int number, SliceId slice, OwnerNode node) {
        due[number] += rates[number] * STEP.toMillis() / Duration.ofSeconds(1).toMillis();
        for (; due[number] >= 1; due[number]--) {
            start(slice, node, STEP);
        }
    }

    void start(SliceId slice, OwnerNode node, Duration length) {
        node.ownership().started(slice, now, effect -> run(node, effect));
        at(now + length.toNanos(), () -> node.ownership().finished(slice, now, effect -> run(node, effect)));
    }

    private void report() {
        for (OwnerNode node : nodes) {
            OwnerNode to = nodes.get(random.nextInt(nodes.size()));
            if (node.alive() && to != node) {
                to.ownership().heard(node.id(), node.ownership().rate(now), now);
            }
        }
    }

    private void run(OwnerNode node, Effect effect) {
        if (effect instanceof Effect.CallStore call) {
            at(now + STORE_NANOS, () -> runStore(node, call));
        } else if (effect instanceof Effect.SendToPeer send && send.message() instanceof PeerMessage.RowPush push) {
            at(now + PUSH_NANOS, () -> push.rows()
                    .forEach(row -> node(send.to()).learn(row, now, next -> run(node(send.to()), next))));
        }
    }

    private void runStore(OwnerNode node, Effect.CallStore call) {
        StoreReply reply = store.run(call.request());
        if (reply != null && node.alive()) {
            node.store().replied(call.callId(), reply, now, effect -> run(node, effect));
        }
    }

    private OwnerNode node(MemberId id) {
        return nodes.stream().filter(node -> node.id().equals(id)).findFirst().orElseThrow();
    }

    private void at(long time, Runnable action) {
        events.add(new Event(time, sequence++, action));
    }

    /** Returns for how long slices were admitted by nobody, summed over the slices. */
    Duration unserved() {
        return STEP.multipliedBy(unservedSteps);
    }

    /** Returns how often two nodes admitted the same slice. */
    int twice() {
        return twice;
    }

    SliceId slice(int number) {
        return new SliceId(service.name(), number);
    }

    OwnerNode ownerOf(int slice) {
        Row row = store.row(ChunkRow.keyOf(service.name(), service.chunkOf(slice)));
        SliceGrant grant = ((ChunkRow) row.value()).grants().get(slice % service.chunkSlices());
        return grant.owner().isNone() ? null : node(grant.owner());
    }

    private record Event(long at, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
