package org.verbenamast.core.tenant;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.manifest.Manifest;
import org.verbenamast.core.manifest.RequestLimits;
import org.verbenamast.core.manifest.Tenant;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.Roster;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.roster.ServerState;

/** Cap controllers of many nodes that exchange messages on virtual time, and a fake network that can be cut. */
final class CapFleet {

    static final long MILLI = Timing.NANOS_PER_MILLI;
    static final CapBounds BOUNDS = new CapBounds(5_000, 0.1, 20);
    static final Tenant TENANT = new Tenant("t", List.of(), OptionalInt.empty(), 100, 100);

    final List<Long> granted = new ArrayList<>();
    final Set<Integer> cut = new HashSet<>();
    final Set<Integer> stopped = new HashSet<>();
    int messages;
    int refused;
    int held;
    long longestHeld;

    private final CapController[] nodes;
    private final Roster[] rosters;
    private final PriorityQueue<Message> network = new PriorityQueue<>();
    private final Random random = new Random(1);
    private final boolean connected;
    private Manifest manifest = manifest(1, TENANT);
    private long lastId;
    private long now;
    private int incarnations;

    private record Message(long at, long order, int from, int to, Effect effect) implements Comparable<Message> {
        @Override
        public int compareTo(Message other) {
            return at == other.at ? Long.compare(order, other.order) : Long.compare(at, other.at);
        }
    }

    /** Creates a fleet; without connection, every node only ever spends its equal share. */
    CapFleet(int size, boolean connected) {
        this.connected = connected;
        nodes = new CapController[size];
        rosters = new Roster[size];
        for (int node = 0; node < size; node++) {
            rosters[node] = new Roster();
            for (int other = 0; other < size; other++) {
                rosters[node].put(member(other));
            }
            start(node);
        }
    }

    static Manifest manifest(long version, Tenant... tenants) {
        return new Manifest(version, List.of(), List.of(), RequestLimits.DEFAULT, Arrays.asList(tenants));
    }

    private static Member member(int node) {
        return new Member(
                "node-" + node,
                new Address("127.0.0.1", 1_000 + node),
                new Zone("a"),
                "s",
                new ServerIncarnation("s-" + node, 1),
                4,
                ServerState.READY);
    }

    /** Starts a node, or starts it again with nothing of before. */
    void start(int node) {
        stopped.remove(node);
        nodes[node] = new CapController(
                "node-" + node,
                ++incarnations,
                now,
                rosters[node],
                BOUNDS,
                random::nextDouble,
                TransitionListener.NONE);
        nodes[node].onManifest(manifest, now, effects(node));
    }

    void putManifest(Tenant tenant) {
        manifest = manifest(manifest.version() + 1, tenant);
        for (int node = 0; node < nodes.length; node++) {
            nodes[node].onManifest(manifest, now, effects(node));
        }
    }

    Roster roster(int node) {
        return rosters[node];
    }

    CapController node(int node) {
        return nodes[node];
    }

    long now() {
        return now;
    }

    /** Returns the node that most others have ceded their share to. */
    int bank() {
        int bank = 0;
        for (int node = 0; node < nodes.length; node++) {
            bank = nodes[node].status(now).cedingNodes()
                            > nodes[bank].status(now).cedingNodes()
                    ? node
                    : bank;
        }
        return bank;
    }

    private Effects effects(int node) {
        return effect -> {
            if (effect instanceof CapEffect.SendReport report) {
                send(node, report.to(), effect);
            } else if (effect instanceof CapEffect.SendGrant grant) {
                send(node, grant.to(), effect);
            } else if (effect instanceof CapEffect.Admit) {
                granted.add(now);
            } else if (effect instanceof CapEffect.Refuse) {
                refused++;
            }
        };
    }

    private void send(int from, Member to, Effect effect) {
        messages++;
        long delay = (1 + random.nextInt(5)) * MILLI;
        network.add(new Message(
                now + delay, messages, from, Integer.parseInt(to.node().substring("node-".length())), effect));
    }

    void request(int node) {
        if (stopped.contains(node)) {
            return;
        }
        Tenant tenant = manifest.tenants().get(0);
        CapDecision decision = nodes[node].admit(++lastId, tenant, now, effects(node));
        switch (decision.kind()) {
            case ADMITTED -> granted.add(now);
            case REFUSED -> refused++;
            default -> held++;
        }
    }

    /** Advances by a millisecond. */
    void step() {
        now += MILLI;
        while (!network.isEmpty() && network.peek().at() <= now) {
            deliver(network.poll());
        }
        for (int node = 0; node < nodes.length; node++) {
            if (!stopped.contains(node) && nodes[node].nextDue() <= now) {
                nodes[node].advance(now, effects(node));
            }
        }
    }

    private void deliver(Message message) {
        boolean separated = cut.contains(message.from()) != cut.contains(message.to());
        if (!connected || separated || stopped.contains(message.to()) || stopped.contains(message.from())) {
            return;
        }
        if (message.effect() instanceof CapEffect.SendReport report) {
            nodes[message.to()].onReport(report.report(), now, effects(message.to()));
        } else if (message.effect() instanceof CapEffect.SendGrant grant) {
            nodes[message.to()].onGrant(grant.grant(), now, effects(message.to()));
        }
    }

    /** Returns the most requests that were granted in any window of a length, from a time on. */
    int mostGranted(long windowNanos, long from) {
        int most = 0;
        int first = 0;
        for (int last = 0; last < granted.size(); last++) {
            while (granted.get(last) - granted.get(first) > windowNanos || granted.get(first) < from) {
                if (++first > last) {
                    break;
                }
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    long grantedBetween(long from, long until) {
        return granted.stream().filter(at -> at >= from && at < until).count();
    }
}
