package org.verbenamast.core.keys;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.ServerIncarnation;

/**
 * The keys granted to one server incarnation, and when it can no longer hold those that are being moved away from it.
 */
final class KeyGrantLedger {

    /**
     * Time after which a server has certainly received the answer that grants it keys, in nanoseconds. It runs on the
     * same host, and rejects a request that overtakes the answer.
     */
    private static final long SETTLE_NANOS = Timing.millisToNanos(10);

    private final ServerIncarnation incarnation;
    private final List<FreedKeys> freed = new ArrayList<>();
    private final Map<KeyRange, Long> revocationEnds = new HashMap<>();
    private List<GrantedKeys> granted = List.of();
    private List<GrantedKeys> settled = List.of();
    private long settlesAt = Long.MAX_VALUE;
    private long grantedUntil;

    /**
     * Creates a ledger without a grant.
     *
     * @param earlierGrantsUntil when grants made by earlier incarnations of this node have certainly expired, as
     *     monotonic time in nanoseconds
     */
    KeyGrantLedger(ServerIncarnation incarnation, long earlierGrantsUntil) {
        this.incarnation = incarnation;
        this.grantedUntil = earlierGrantsUntil;
    }

    ServerIncarnation incarnation() {
        return incarnation;
    }

    /** Returns the keys to grant: those that the server owns, except those that it has released. */
    List<GrantedKeys> grantsFrom(KeyMap map) {
        return map.grantsOf(incarnation).stream()
                .filter(grant -> freed.stream().noneMatch(each -> each.range().overlaps(grant.range())))
                .toList();
    }

    /** Returns the keys to grant while the map may lack moves that the store lost: those that were granted last. */
    List<GrantedKeys> renewalsFrom(KeyMap map) {
        return grantsFrom(map).stream()
                .filter(grant -> granted.stream()
                        .anyMatch(last ->
                                last.epoch() == grant.epoch() && last.range().covers(grant.range())))
                .toList();
    }

    void recordGrant(List<GrantedKeys> grants, long durationMillis, long now, Effects effects) {
        granted.stream()
                .filter(keys -> !grants.contains(keys))
                .forEach(keys -> effects.emit(new KeyEffect.Withdrawn(incarnation, keys)));
        grants.stream()
                .filter(keys -> !granted.contains(keys))
                .forEach(keys -> effects.emit(new KeyEffect.Granted(incarnation, keys)));
        settled = settled.stream().filter(grants::contains).toList();
        granted = List.copyOf(grants);
        settlesAt = settled.size() == granted.size() ? Long.MAX_VALUE : now + SETTLE_NANOS;
        grantedUntil = Math.max(grantedUntil, now + Timing.millisToNanos(KeyLeaseTimings.plusDrift(durationMillis)));
    }

    void recordFreed(List<FreedKeys> keys) {
        freed.addAll(keys);
    }

    /**
     * Records when the server can no longer hold the keys that are moving away from it: when the last grant expires.
     */
    void revoke(KeyMap map) {
        for (KeyAssignment assignment : map.assignments()) {
            if (isMovingAway(assignment)) {
                revocationEnds.putIfAbsent(assignment.range(), grantedUntil);
            }
        }
        revocationEnds.keySet().removeIf(range -> !isMovingAway(map.find(range.from())));
        freed.removeIf(each -> !ownsAny(map, each.range()));
    }

    private boolean isMovingAway(KeyAssignment assignment) {
        return assignment.next().isPresent() && assignment.owner().equals(Optional.of(incarnation));
    }

    private boolean ownsAny(KeyMap map, KeyRange range) {
        return map.assignments().stream()
                .anyMatch(assignment -> assignment.owner().equals(Optional.of(incarnation))
                        && assignment.range().overlaps(range));
    }

    /** Returns the map without the server's ownership of keys that it has released or can no longer hold. */
    KeyMap release(KeyMap map, long now) {
        KeyMap released = map;
        for (FreedKeys each : freed) {
            released = released.release(each.range(), incarnation, each.handover());
        }
        for (Map.Entry<KeyRange, Long> each : revocationEnds.entrySet()) {
            if (now > each.getValue()) {
                released = released.release(each.getKey(), incarnation, "");
            }
        }
        return released;
    }

    boolean isGranted(int key, long now) {
        return now < grantedUntil && containKey(settled, key);
    }

    private static boolean containKey(List<GrantedKeys> keys, int key) {
        for (GrantedKeys each : keys) {
            if (each.range().contains(key)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether the next answer to a heartbeat is to grant a key, or the last one did and is still under way. */
    boolean isToBeGranted(int key, KeyMap map) {
        return containKey(grantsFrom(map), key);
    }

    /** Returns when the keys granted last are settled: the server has received them. */
    long settlesAt() {
        return settlesAt;
    }

    /** Makes the keys granted last available to requests once they are settled. */
    void settle(long now) {
        if (now >= settlesAt) {
            settled = granted;
            settlesAt = Long.MAX_VALUE;
        }
    }

    /** Returns when all grants to this server incarnation have certainly expired, as monotonic time in nanoseconds. */
    long grantedUntil() {
        return grantedUntil;
    }
}
