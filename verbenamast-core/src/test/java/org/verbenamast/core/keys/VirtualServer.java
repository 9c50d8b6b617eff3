package org.verbenamast.core.keys;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Heartbeat;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.roster.ServerState;

/** A backend server on virtual time: it holds what it was granted until the hold ends by its own, slow clock. */
final class VirtualServer {

    static final int SLOTS = 9;

    /** How much longer a server's hold lasts than it should, in percent. */
    private static final long SLOW_PERCENT = 2;

    private final ServerIncarnation life;
    private final List<FreedKeys> freed = new ArrayList<>();
    private final Map<Integer, Long> highest = new HashMap<>();
    private List<GrantedKeys> held = List.of();
    private long heldUntil;
    private long sequence;
    private ServerState state = ServerState.READY;

    VirtualServer(String id, long startedAt) {
        this.life = new ServerIncarnation(id, startedAt);
    }

    ServerIncarnation life() {
        return life;
    }

    void drain() {
        state = ServerState.DRAINING;
    }

    ServerState state() {
        return state;
    }

    Heartbeat beat(long now) {
        List<HeldKeys> holds = holds(now).stream()
                .map(keys -> new HeldKeys(keys.range(), keys.epoch()))
                .toList();
        Heartbeat beat = new Heartbeat(
                life, VirtualKeys.SERVICE, "127.0.0.1:1", SLOTS, state, 0, ++sequence, holds, List.copyOf(freed));
        return beat;
    }

    /** Takes the answer to a heartbeat that was sent at a time. */
    void answered(Optional<HoldGrant> grant, long sentAt, long now) {
        freed.clear();
        if (grant.isEmpty()) {
            return;
        }
        List<GrantedKeys> accepted = new ArrayList<>();
        for (GrantedKeys keys : grant.get().keys()) {
            if (keys.epoch() >= highest.getOrDefault(keys.range().from(), 0L)) {
                highest.put(keys.range().from(), keys.epoch());
                accepted.add(keys);
            }
        }
        for (GrantedKeys before : holds(now)) {
            boolean kept = accepted.stream().anyMatch(keys -> keys.range().covers(before.range()));
            if (!kept) {
                free(before, accepted);
            }
        }
        held = accepted;
        long millis = grant.get().holdMillis();
        heldUntil = sentAt + Timing.millisToNanos(millis + millis * SLOW_PERCENT / 100);
    }

    private void free(GrantedKeys before, List<GrantedKeys> accepted) {
        int from = before.range().from();
        for (GrantedKeys keys : accepted) {
            if (keys.range().to() < from || keys.range().from() > before.range().to()) {
                continue;
            }
            if (keys.range().from() > from) {
                freed.add(new FreedKeys(new KeyRange(from, keys.range().from() - 1), "token-" + life));
            }
            from = keys.range().to() + 1;
        }
        if (from <= before.range().to()) {
            freed.add(new FreedKeys(new KeyRange(from, before.range().to()), "token-" + life));
        }
    }

    boolean owesBeat() {
        return !freed.isEmpty();
    }

    List<GrantedKeys> holds(long now) {
        return now < heldUntil ? held : List.of();
    }
}
