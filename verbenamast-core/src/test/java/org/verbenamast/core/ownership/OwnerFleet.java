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

/** Members of one service on virtual time. Counts how often two admit a slice, and how long none does. */
final class OwnerFleet {

    private static final Duration STEP = Duration.ofMillis(10);
    private static final long STORE_LATENCY_NANOS = Duration.ofMillis(5).toNanos();
    private static final long PUSH_LATENCY_NANOS = Duration.ofMillis(2).toNanos();
    private static final long MAX_GOSSIP_DELAY_NANOS = Duration.ofMillis(500).toNanos();
    private static final long REPORT_INTERVAL_STEPS = 50;

    private final ServiceSettings service;
    private final OwnershipRules rules;
    private final FakeStore store = new FakeStore();
    private final List<OwnerNode> nodes = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Random random;
    private double[] rates;
    private double[] dueRequests;
    private long now = STEP.toNanos();
    private long steps;
    private long sequence;
    private long unservedSteps;
    private int doubleAdmissions;

    OwnerFleet(ServiceSettings service, OwnershipRules rules, long seed) {
        this.service = service;
        this.rules = rules;
        this.random = new Random(seed);
        this.rates = new double[service.slices()];
        this.dueRequests = new double[service.slices()];
    }

    long now() {
        return now;
    }

    FakeStore store() {
        return store;
    }

    List<OwnerNode> nodes() {
        return nodes;
    }

    OwnerNode join() {
        OwnerNode node = new OwnerNode(Rows.member(nodes.size()), service, rules, this);
        nodes.add(node);
        store.rows().forEach(row -> node.applyRow(row, now, effect -> execute(node, effect)));
        setStatus(node, MemberStatus.ACTIVE, 1);
        return node;
    }

    void leave(OwnerNode node) {
        setStatus(node, MemberStatus.LEAVING, 2);
    }

    /** Stops a node at once. Its row says that it has ended only after the delay that detection takes. */
    void lose(OwnerNode node, Duration detectionDelay) {
        node.stop();
        schedule(now + detectionDelay.toNanos(), () -> setStatus(node, MemberStatus.ENDED, 2));
    }

    private void setStatus(OwnerNode node, MemberStatus status, long version) {
        Row row = store.put(Rows.memberRow(node.id(), status, version));
        node.applyRow(row, now, effect -> execute(node, effect));
        gossip(row);
    }

    void gossip(Row row) {
        for (OwnerNode node : nodes) {
            long delay = random.nextLong(MAX_GOSSIP_DELAY_NANOS);
            schedule(now + delay, () -> node.applyRow(row, now, effect -> execute(node, effect)));
        }
    }

    void setRate(int slice, double perSecond) {
        rates[slice] = perSecond;
    }

    void runFor(Duration time) {
        long until = now + time.toNanos();
        while (now < until) {
            now += STEP.toNanos();
            while (!events.isEmpty() && events.peek().dueAt() <= now) {
                events.poll().action().run();
            }
            nodes.stream().filter(OwnerNode::alive).forEach(node -> node.advance(now, effect -> execute(node, effect)));
            serveSlices();
            if (steps++ % REPORT_INTERVAL_STEPS == 0) {
                reportRates();
            }
        }
    }

    private void serveSlices() {
        for (int number = 0; number < service.slices(); number++) {
            SliceId slice = new SliceId(service.name(), number);
            List<OwnerNode> admitting = nodes.stream()
                    .filter(node -> node.ownership().admits(slice, now))
                    .toList();
            doubleAdmissions += admitting.size() > 1 ? 1 : 0;
            if (admitting.isEmpty()) {
                unservedSteps++;
            } else {
                sendDueRequests(number, slice, admitting.get(0));
            }
        }
    }

    private void sendDueRequests(int number, SliceId slice, OwnerNode node) {
        dueRequests[number] +=
                rates[number] * STEP.toMillis() / Duration.ofSeconds(1).toMillis();
        for (; dueRequests[number] >= 1; dueRequests[number]--) {
            startRequest(slice, node, STEP);
        }
    }

    void startRequest(SliceId slice, OwnerNode node, Duration length) {
        node.ownership().onRequestStarted(slice, now, effect -> execute(node, effect));
        schedule(now + length.toNanos(), () -> node.ownership()
                .onRequestFinished(slice, now, effect -> execute(node, effect)));
    }

    private void reportRates() {
        for (OwnerNode node : nodes) {
            OwnerNode to = nodes.get(random.nextInt(nodes.size()));
            if (node.alive() && to != node) {
                to.ownership().onRateReport(node.id(), node.ownership().requestRate(now), now);
            }
        }
    }

    private void execute(OwnerNode node, Effect effect) {
        if (effect instanceof Effect.CallStore call) {
            schedule(now + STORE_LATENCY_NANOS, () -> executeStoreCall(node, call));
        } else if (effect instanceof Effect.SendToPeer send && send.message() instanceof PeerMessage.RowPush push) {
            schedule(now + PUSH_LATENCY_NANOS, () -> push.rows()
                    .forEach(row -> node(send.to()).applyRow(row, now, next -> execute(node(send.to()), next))));
        }
    }

    private void executeStoreCall(OwnerNode node, Effect.CallStore call) {
        StoreReply reply = store.execute(call.request());
        if (reply != null && node.alive()) {
            node.store().onReply(call.callId(), reply, now, effect -> execute(node, effect));
        }
    }

    private OwnerNode node(MemberId id) {
        return nodes.stream().filter(node -> node.id().equals(id)).findFirst().orElseThrow();
    }

    private void schedule(long time, Runnable action) {
        events.add(new Event(time, sequence++, action));
    }

    /** Returns for how long no node admitted a slice, summed over the slices. */
    Duration unservedTime() {
        return STEP.multipliedBy(unservedSteps);
    }

    /** Returns how often two nodes admitted the same slice, counted in steps. */
    int doubleAdmissions() {
        return doubleAdmissions;
    }

    SliceId slice(int number) {
        return new SliceId(service.name(), number);
    }

    OwnerNode ownerOf(int slice) {
        Row row = store.row(ChunkRow.keyOf(service.name(), service.chunkOf(slice)));
        SliceGrant grant = ((ChunkRow) row.value()).grants().get(slice % service.chunkSlices());
        return grant.owner().isNone() ? null : node(grant.owner());
    }

    private record Event(long dueAt, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(dueAt, other.dueAt);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
