package org.verbenamast.core.keys;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Heartbeat;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.Roster;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.roster.ServerState;
import org.verbenamast.core.rows.RowReplica;
import org.verbenamast.core.rows.StoreEffect;
import org.verbenamast.core.rows.StoreEra;
import org.verbenamast.core.rows.StoreResult;
import org.verbenamast.core.rows.VirtualRows;
import org.verbenamast.core.store.StoreFailure;
import org.verbenamast.core.watch.EraController;
import org.verbenamast.core.watch.FollowedTable;

/** Hosts, each with a node and a backend server that is granted keys, on virtual time with faults drawn from a seed. */
final class VirtualKeys {

    static final String SERVICE = "stock";

    private static final long STEP_NANOS = Timing.millisToNanos(10);
    private static final long HEARTBEAT_INTERVAL_NANOS = Timing.millisToNanos(870);
    private static final long FREED_KEYS_HEARTBEAT_DELAY_NANOS = Timing.millisToNanos(100);
    private static final long LATE_CALL_DELAY_NANOS = Timing.millisToNanos(3_000);

    private final Random random;
    private final VirtualRows store = new VirtualRows();
    private final PriorityQueue<ScheduledTask> tasks =
            new PriorityQueue<>(Comparator.comparingLong(ScheduledTask::dueAt));
    private final List<Host> hosts = new ArrayList<>();
    private long now = Timing.millisToNanos(1_000);
    private long storeDownUntil;
    private long serverCount;

    private record ScheduledTask(long dueAt, Runnable action) {}

    /** A host with a node and a server, either of which may be stopped (null). */
    final class Host {

        private final String name;
        private KeyController controller;
        private RowReplica replica;
        private Roster roster;
        private EraController eras;
        private VirtualServer server;
        private long nextHeartbeat;
        private long disconnectedUntil;
        private long nodeStarts;
        private long readVersion;

        private Host(String name) {
            this.name = name;
        }

        void startNode() {
            long start = ++nodeStarts;
            readVersion = -1;
            roster = new Roster();
            replica = new RowReplica(row -> {});
            KeyControllerSettings self = new KeyControllerSettings(
                    name, 1_000L * serverCount + start, SERVICE, KeyLeaseTimings.DEFAULT, now);
            eras = new EraController(TransitionListener.NONE);
            controller = new KeyController(
                    self, roster, replica, this::isReachable, at -> at, eras, TransitionListener.NONE);
        }

        void stopNode() {
            controller = null;
        }

        private boolean isReachable(Member member) {
            return hosts.stream().anyMatch(host -> host.name.equals(member.node()) && host.controller != null);
        }

        void startServer() {
            server = new VirtualServer("i-" + ++serverCount, serverCount);
            nextHeartbeat = now + random.nextInt((int) HEARTBEAT_INTERVAL_NANOS);
        }

        void stopServer() {
            server = null;
        }

        VirtualServer server() {
            return server;
        }

        void disconnectStore(long millis) {
            disconnectedUntil = now + Timing.millisToNanos(millis);
        }

        private void sendHeartbeat() {
            nextHeartbeat = now + HEARTBEAT_INTERVAL_NANOS;
            if (controller == null) {
                return;
            }
            VirtualServer from = server;
            long sentAt = now;
            Heartbeat heartbeat = from.createHeartbeat(now);
            KeyController to = controller;
            schedule(random.nextInt(3), () -> {
                if (controller != to) {
                    return;
                }
                Optional<KeyGrant> grant = to.onHeartbeat(heartbeat, now, effect -> execute(to, effect));
                schedule(random.nextInt(3), () -> {
                    from.onAnswer(grant, sentAt, now);
                    if (from.hasFreedKeys() && from == server) {
                        nextHeartbeat = Math.min(nextHeartbeat, now + FREED_KEYS_HEARTBEAT_DELAY_NANOS);
                    }
                });
            });
        }

        private void execute(KeyController from, Effect effect) {
            if (effect instanceof StoreEffect call) {
                callStore(this, from, call);
            } else if (effect instanceof KeyEffect.SendLoadReport send) {
                hosts.stream()
                        .filter(host -> host.name.equals(send.to().node()) && host.controller != null)
                        .forEach(host -> host.controller.onLoadReport(send.report(), now));
            }
        }

        private void step() {
            if (controller == null) {
                return;
            }
            refreshRoster();
            KeyController current = controller;
            if (now >= disconnectedUntil && now >= storeDownUntil && readVersion != store.version()) {
                readStore();
            }
            eras.advance(now, effect -> {});
            current.advance(now, effect -> execute(current, effect));
        }

        private void readStore() {
            readVersion = store.version();
            eras.onEra(store.era(), now, effect -> {});
            replica.applySnapshot(store.keyMaps(), store.version());
            for (FollowedTable table : FollowedTable.values()) {
                eras.onTableRead(table, store.version(), now, effect -> {});
            }
        }

        private void refreshRoster() {
            for (Host host : hosts) {
                if (host.server != null) {
                    roster.put(member(host));
                }
            }
        }
    }

    VirtualKeys(long seed, int hostCount) {
        this.random = new Random(seed);
        for (int i = 0; i < hostCount; i++) {
            hosts.add(new Host("node-" + i));
        }
        hosts.forEach(Host::startServer);
        hosts.forEach(Host::startNode);
    }

    private static Member member(Host host) {
        VirtualServer server = host.server;
        ServerState state = server.state();
        ServerIncarnation incarnation = server.incarnation();
        return new Member(
                host.name,
                new Address("127.0.0.1", 1),
                new Zone("a"),
                SERVICE,
                incarnation,
                VirtualServer.SLOTS,
                state);
    }

    private void schedule(long millis, Runnable action) {
        tasks.add(new ScheduledTask(now + Timing.millisToNanos(millis), action));
    }

    private void callStore(Host host, KeyController from, StoreEffect call) {
        boolean sent = !(call instanceof StoreEffect.Commit commit) || new StoreEra(host.eras.era()).covers(commit);
        boolean unreachable = !sent || now < host.disconnectedUntil || now < storeDownUntil;
        boolean answerLost = random.nextInt(20) == 0;
        boolean late = answerLost && random.nextBoolean();
        if (unreachable) {
            schedule(1_000, () -> completeCall(host, from, call, new StoreResult.Failed(StoreFailure.NO_ANSWER)));
        } else if (answerLost) {
            tasks.add(new ScheduledTask(now + (late ? LATE_CALL_DELAY_NANOS : 0), () -> store.execute(call)));
            schedule(1_000, () -> completeCall(host, from, call, new StoreResult.Failed(StoreFailure.NO_ANSWER)));
        } else {
            schedule(2 + random.nextInt(8), () -> {
                StoreResult result = store.execute(call);
                schedule(2, () -> completeCall(host, from, call, result));
            });
        }
    }

    private void completeCall(Host host, KeyController from, StoreEffect call, StoreResult result) {
        if (host.controller == from) {
            from.onStoreResult(call.purpose(), call.callId(), result, now, effect -> host.execute(from, effect));
        }
    }

    List<Host> hosts() {
        return hosts;
    }

    Host randomHost() {
        return hosts.get(random.nextInt(hosts.size()));
    }

    Random random() {
        return random;
    }

    long now() {
        return now;
    }

    void stopStore(long millis) {
        storeDownUntil = now + Timing.millisToNanos(millis);
    }

    VirtualRows.Copy copyStore() {
        return store.copy();
    }

    void restoreStore(VirtualRows.Copy copy) {
        store.comeBackFrom(copy);
    }

    KeyMap storedMap() {
        return store.keyMaps().stream().map(KeyMap::of).findAny().orElse(KeyMap.vacant(SERVICE));
    }

    /** Advances the virtual time and runs the check after each step. */
    void run(long millis, Runnable check) {
        long end = now + Timing.millisToNanos(millis);
        while (now < end) {
            now += STEP_NANOS;
            while (!tasks.isEmpty() && tasks.peek().dueAt() <= now) {
                tasks.poll().action().run();
            }
            for (Host host : hosts) {
                if (host.server != null && now >= host.nextHeartbeat) {
                    host.sendHeartbeat();
                }
                host.step();
            }
            check.run();
        }
    }

    /** Returns the number of keys that no server holds. */
    int unheldKeyCount() {
        int held = 0;
        for (Host host : hosts) {
            if (host.server != null) {
                for (GrantedKeys keys : host.server.heldKeys(now)) {
                    held += keys.range().size();
                }
            }
        }
        return KeyRange.MAX_KEY + 1 - held;
    }

    /** Returns a description of two servers that hold the same key; empty if there are none. */
    String describeDoubleHolding() {
        for (int first = 0; first < hosts.size(); first++) {
            for (int second = first + 1; second < hosts.size(); second++) {
                String overlap = describeOverlap(hosts.get(first).server, hosts.get(second).server);
                if (!overlap.isEmpty()) {
                    return overlap;
                }
            }
        }
        return "";
    }

    private String describeOverlap(VirtualServer one, VirtualServer other) {
        if (one == null || other == null) {
            return "";
        }
        for (GrantedKeys first : one.heldKeys(now)) {
            for (GrantedKeys second : other.heldKeys(now)) {
                boolean overlap = first.range().from() <= second.range().to()
                        && second.range().from() <= first.range().to();
                if (overlap) {
                    return one.incarnation() + " holds " + first + " and " + other.incarnation() + " holds " + second;
                }
            }
        }
        return "";
    }
}
