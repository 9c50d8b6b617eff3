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
import org.verbenamast.core.rows.StoreResult;
import org.verbenamast.core.store.StoreFailure;

/** Nodes with servers that hold keys, on virtual time, with faults drawn from a seed. */
final class VirtualKeys {

    static final String SERVICE = "stock";

    private static final long STEP = Timing.millisToNanos(10);
    private static final long BEAT_EVERY = Timing.millisToNanos(870);
    private static final long FREE_BEAT = Timing.millisToNanos(100);
    private static final long LATE_CALL = Timing.millisToNanos(3_000);

    private final Random random;
    private final VirtualRows store = new VirtualRows();
    private final PriorityQueue<Later> later = new PriorityQueue<>(Comparator.comparingLong(Later::at));
    private final List<Slot> slots = new ArrayList<>();
    private long now = Timing.millisToNanos(1_000);
    private long storeDownUntil;
    private long lives;

    private record Later(long at, Runnable what) {}

    /** A host: a node and its server, either of which may be gone. */
    final class Slot {

        private final String name;
        private KeyController desk;
        private RowReplica replica;
        private Roster roster;
        private VirtualServer server;
        private long nextBeat;
        private long cutUntil;
        private long nodeRun;

        private Slot(String name) {
            this.name = name;
        }

        void startNode() {
            long run = ++nodeRun;
            roster = new Roster();
            replica = new RowReplica(row -> {});
            KeyControllerSettings self =
                    new KeyControllerSettings(name, 1_000L * lives + run, SERVICE, KeyLeaseTimings.DEFAULT, now);
            desk = new KeyController(self, roster, replica, this::reaches, TransitionListener.NONE);
        }

        void stopNode() {
            desk = null;
        }

        private boolean reaches(Member member) {
            return slots.stream().anyMatch(slot -> slot.name.equals(member.node()) && slot.desk != null);
        }

        void startServer() {
            server = new VirtualServer("i-" + ++lives, lives);
            nextBeat = now + random.nextInt((int) BEAT_EVERY);
        }

        void stopServer() {
            server = null;
        }

        VirtualServer server() {
            return server;
        }

        void cut(long millis) {
            cutUntil = now + Timing.millisToNanos(millis);
        }

        private void beat() {
            nextBeat = now + BEAT_EVERY;
            if (desk == null) {
                return;
            }
            VirtualServer from = server;
            long sentAt = now;
            Heartbeat beat = from.beat(now);
            KeyController to = desk;
            schedule(random.nextInt(3), () -> {
                if (desk != to) {
                    return;
                }
                Optional<HoldGrant> grant = to.heartbeat(beat, now, effect -> carryOut(to, effect));
                schedule(random.nextInt(3), () -> {
                    from.answered(grant, sentAt, now);
                    if (from.owesBeat() && from == server) {
                        nextBeat = Math.min(nextBeat, now + FREE_BEAT);
                    }
                });
            });
        }

        private void carryOut(KeyController from, Effect effect) {
            if (effect instanceof StoreEffect call) {
                call(this, from, call);
            } else if (effect instanceof KeyEffect.TellHeat tell) {
                slots.stream()
                        .filter(slot -> slot.name.equals(tell.to().node()) && slot.desk != null)
                        .forEach(slot -> slot.desk.heat(tell.report(), now));
            }
        }

        private void step() {
            if (desk == null) {
                return;
            }
            refreshRoster();
            if (now >= cutUntil && now >= storeDownUntil) {
                replica.take(store.followed());
            }
            KeyController own = desk;
            own.advance(now, effect -> carryOut(own, effect));
        }

        private void refreshRoster() {
            for (Slot slot : slots) {
                if (slot.server != null) {
                    roster.put(member(slot));
                }
            }
        }
    }

    VirtualKeys(long seed, int hosts) {
        this.random = new Random(seed);
        for (int i = 0; i < hosts; i++) {
            slots.add(new Slot("node-" + i));
        }
        slots.forEach(Slot::startServer);
        slots.forEach(Slot::startNode);
    }

    private static Member member(Slot slot) {
        VirtualServer server = slot.server;
        ServerState state = server.state();
        ServerIncarnation life = server.life();
        return new Member(
                slot.name, new Address("127.0.0.1", 1), new Zone("a"), SERVICE, life, VirtualServer.SLOTS, state);
    }

    private void schedule(long millis, Runnable what) {
        later.add(new Later(now + Timing.millisToNanos(millis), what));
    }

    private void call(Slot slot, KeyController from, StoreEffect call) {
        boolean unreachable = now < slot.cutUntil || now < storeDownUntil;
        boolean lost = random.nextInt(20) == 0;
        boolean late = lost && random.nextBoolean();
        if (unreachable) {
            schedule(1_000, () -> answer(slot, from, call, new StoreResult.Failed(StoreFailure.NO_ANSWER)));
        } else if (lost) {
            later.add(new Later(now + (late ? LATE_CALL : 0), () -> store.call(call)));
            schedule(1_000, () -> answer(slot, from, call, new StoreResult.Failed(StoreFailure.NO_ANSWER)));
        } else {
            schedule(2 + random.nextInt(8), () -> {
                StoreResult result = store.call(call);
                schedule(2, () -> answer(slot, from, call, result));
            });
        }
    }

    private void answer(Slot slot, KeyController from, StoreEffect call, StoreResult result) {
        if (slot.desk == from) {
            from.stored(call.purpose(), call.ticket(), result, now, effect -> slot.carryOut(from, effect));
        }
    }

    List<Slot> slots() {
        return slots;
    }

    Slot any() {
        return slots.get(random.nextInt(slots.size()));
    }

    Random random() {
        return random;
    }

    long now() {
        return now;
    }

    void storeDown(long millis) {
        storeDownUntil = now + Timing.millisToNanos(millis);
    }

    /** Lets time pass; after each step the check is run. */
    void run(long millis, Runnable check) {
        long end = now + Timing.millisToNanos(millis);
        while (now < end) {
            now += STEP;
            while (!later.isEmpty() && later.peek().at() <= now) {
                later.poll().what().run();
            }
            for (Slot slot : slots) {
                if (slot.server != null && now >= slot.nextBeat) {
                    slot.beat();
                }
                slot.step();
            }
            check.run();
        }
    }

    /** Returns how many keys no server holds. */
    int keysWithoutHolder() {
        int held = 0;
        for (Slot slot : slots) {
            if (slot.server != null) {
                for (GrantedKeys keys : slot.server.holds(now)) {
                    held += keys.range().size();
                }
            }
        }
        return KeyRange.MAX_KEY + 1 - held;
    }

    /** Returns two servers that hold the same key, in words, or an empty text. */
    String doubleHolders() {
        for (int one = 0; one < slots.size(); one++) {
            for (int other = one + 1; other < slots.size(); other++) {
                String both = overlap(slots.get(one).server, slots.get(other).server);
                if (!both.isEmpty()) {
                    return both;
                }
            }
        }
        return "";
    }

    private String overlap(VirtualServer one, VirtualServer other) {
        if (one == null || other == null) {
            return "";
        }
        for (GrantedKeys first : one.holds(now)) {
            for (GrantedKeys second : other.holds(now)) {
                boolean both = first.range().from() <= second.range().to()
                        && second.range().from() <= first.range().to();
                if (both) {
                    return one.life() + " holds " + first + " and " + other.life() + " holds " + second;
                }
            }
        }
        return "";
    }
}
