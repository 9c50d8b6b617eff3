package org.verbenamast.wire.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.membership.MemberStatus;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.store.Row;
import org.verbenamast.wire.PeerCodec;

/** Directories that gossip on virtual time over links that lose some messages. */
final class SpreadFleet {

    private static final long LATENCY_NANOS = Duration.ofMillis(2).toNanos();
    private static final int HEADER_BYTES = 56;

    private final List<SpreadNode> nodes = new ArrayList<>();
    private final Map<MemberId, SpreadNode> byId = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<MemberId, Long> wakes = new HashMap<>();
    private final Random random;
    private final double loss;
    private long now;
    private long sequence;

    SpreadFleet(int size, double loss, long seed) {
        this.random = new Random(seed);
        this.loss = loss;
        for (int i = 0; i < size; i++) {
            nodes.add(new SpreadNode(i));
        }
        nodes.forEach(node -> byId.put(node.id(), node));
        List<Row> members = nodes.stream()
                .map(node -> memberRow(node.id(), MemberStatus.ACTIVE, 1))
                .toList();
        nodes.forEach(node -> members.forEach(node.directory()::apply));
        nodes.forEach(node -> wake(node, random.nextLong(Duration.ofMillis(500).toNanos())));
    }

    static Row memberRow(MemberId id, MemberStatus status, long version) {
        MemberRow row = new MemberRow(
                id,
                SpreadNode.STOCK.name(),
                new Zone("jkt"),
                new Address("10.0.0.1", 7000),
                status,
                List.of(id, id, id, id),
                "run-1",
                10,
                id + "/member/1");
        return new Row(MemberRow.keyOf(id), version, row);
    }

    List<SpreadNode> nodes() {
        return nodes;
    }

    long now() {
        return now;
    }

    void write(int node, Row row) {
        nodes.get(node).write(row, now);
        wake(nodes.get(node), now);
    }

    void runFor(Duration time) {
        long until = now + time.toNanos();
        while (!events.isEmpty() && events.peek().at() <= until) {
            Event event = events.poll();
            now = event.at();
            if (event.message() == null) {
                wakes.remove(event.node().id(), event.at());
            }
            event.node().advance(now, effect -> send(event.node(), effect));
            if (event.message() != null) {
                event.node().take(event.from(), event.message(), now, effect -> send(event.node(), effect));
            }
            wake(event.node(), event.node().nextDue());
        }
        now = until;
    }

    private void send(SpreadNode from, Effect effect) {
        Effect.SendToPeer send = (Effect.SendToPeer) effect;
        from.count(PeerCodec.encode(from.id(), send.message()).getSerializedSize() + HEADER_BYTES);
        if (random.nextDouble() >= loss) {
            long at = now + LATENCY_NANOS / 2 + random.nextLong(LATENCY_NANOS);
            events.add(new Event(at, sequence++, byId.get(send.to()), from.id(), send.message()));
        }
    }

    private void wake(SpreadNode node, long at) {
        if (at < wakes.getOrDefault(node.id(), Long.MAX_VALUE)) {
            wakes.put(node.id(), at);
            events.add(new Event(at, sequence++, node, null, null));
        }
    }

    long knowing(Row row) {
        return nodes.stream()
                .filter(node -> node.directory().version(row.key()) >= row.version())
                .count();
    }

    private record Event(long at, long sequence, SpreadNode node, MemberId from, PeerMessage message)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
