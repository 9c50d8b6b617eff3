package org.verbenamast.core.keys;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.ServerIncarnation;

/** What was granted to one run of a server and when it can no longer hold keys that were taken from it. */
final class KeyGrantLedger {

    private final ServerIncarnation life;
    private final List<FreedKeys> freed = new ArrayList<>();
    private final Map<KeyRange, Long> revoked = new HashMap<>();
    private List<GrantedKeys> granted = List.of();
    private long grantedUntil;

    /**
     * Begins without a grant.
     *
     * @param unknownUntil when grants of an earlier run of this node have certainly ended, in nanoseconds
     */
    KeyGrantLedger(ServerIncarnation life, long unknownUntil) {
        this.life = life;
        this.grantedUntil = unknownUntil;
    }

    ServerIncarnation life() {
        return life;
    }

    /** Returns what the server is to hold: what it owns, but for what it has given back. */
    List<GrantedKeys> due(KeyMap map) {
        return map.grantsOf(life).stream()
                .filter(grant -> freed.stream().noneMatch(each -> each.range().overlaps(grant.range())))
                .toList();
    }

    void granted(List<GrantedKeys> grants, long holdMillis, long now, Effects effects) {
        granted.stream()
                .filter(keys -> !grants.contains(keys))
                .forEach(keys -> effects.emit(new KeyEffect.Withdrawn(life, keys)));
        grants.stream()
                .filter(keys -> !granted.contains(keys))
                .forEach(keys -> effects.emit(new KeyEffect.Granted(life, keys)));
        granted = List.copyOf(grants);
        grantedUntil = Math.max(grantedUntil, now + Timing.millisToNanos(KeyLeaseTimings.surelyOver(holdMillis)));
    }

    void freed(List<FreedKeys> given) {
        freed.addAll(given);
    }

    /** Notes when the server can no longer hold keys that it is to give away. */
    void revoke(KeyMap map) {
        for (KeyAssignment assignment : map.assignments()) {
            if (isLeaving(assignment)) {
                revoked.putIfAbsent(assignment.range(), grantedUntil);
            }
        }
        revoked.keySet().removeIf(range -> !isLeaving(map.find(range.from())));
        freed.removeIf(each -> !ownsAny(map, each.range()));
    }

    private boolean isLeaving(KeyAssignment assignment) {
        return assignment.next().isPresent() && assignment.owner().equals(Optional.of(life));
    }

    private boolean ownsAny(KeyMap map, KeyRange range) {
        return map.assignments().stream()
                .anyMatch(assignment -> assignment.owner().equals(Optional.of(life))
                        && assignment.range().overlaps(range));
    }

    /** Takes back from the server what it has given back or can no longer hold. */
    KeyMap release(KeyMap map, long now) {
        KeyMap released = map;
        for (FreedKeys each : freed) {
            released = released.release(each.range(), life, each.handover());
        }
        for (Map.Entry<KeyRange, Long> each : revoked.entrySet()) {
            if (now > each.getValue()) {
                released = released.release(each.getKey(), life, "");
            }
        }
        return released;
    }

    boolean holds(int key, long now) {
        return now < grantedUntil
                && granted.stream().anyMatch(grant -> grant.range().contains(key));
    }

    /** Tells when all grants to this run have certainly ended. */
    long grantedUntil() {
        return grantedUntil;
    }
}
